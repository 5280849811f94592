Feature: store entries and HTTP heads are decoded into the gateway's types

  Scenario: a complete configuration
    Given the example configuration entry
    Then its version is 7 and it has 2 routes
    And route "r-1" is "stream", resumable "False", rank 0, home regions "dakar, thies"
    And route "r-2" is "stream", resumable "True", rank 1, home regions ""
    And route "r-2" splits its traffic "a:90, b:10"
    And the key "k1" belongs to account "acc" with 100.0 tokens per second
    And service "a" caches 1000 tokens and takes 2.6 requests per second while cold

  Scenario Outline: a malformed entry of another writer is invalid
    Then the entry "<key>" with value "<value>" is invalid

    Examples:
      | key       | value                                                                      |
      | servers/x | {"service":"a"}                                                            |
      | servers/x | {"service":7,"address":"10.0.0.1:1","zone":"z","slots":1,"state":"ready"}         |
      | servers/x | {"service":"a","address":"10.0.0.1:1","zone":"z","slots":1,"state":"asleep"}      |
      | servers/x | {"service":"a","address":"10.0.0.1","zone":"z","slots":1,"state":"ready"}         |
      | servers/x | {"service":"a","address":"10.0.0.1:1","zone":"z","slots":[],"state":"ready"}      |
      | servers/x | not json                                                                   |
      | servers/x | []                                                                         |
      | op/config | {"version":"x"}                                                            |
      | op/other  | {}                                                                         |

  # Guards against a bound on numbers that refuses a whole configuration for one generous rate.
  Scenario: an account with a rate that no caller reaches is valid
    Then a configuration whose account has a rate of 1e15 tokens per second is valid

  Scenario Outline: request headers
    Then a request with header "<name>" set to "<value>" has <field> "<found>"

    Examples:
      | name                                | value        | field         | found   |
      | X-Hickorybeam-Token-Counts          | 1460,80      | prompt_tokens | 1460    |
      | X-Hickorybeam-Token-Counts          | 1460         | prompt_tokens | 0       |
      | X-Hickorybeam-Token-Counts          | -1,80        | output_tokens | 0       |
      | X-Hickorybeam-Deadline-Milliseconds | 700          | deadline_ms   | 1700    |
      | X-Hickorybeam-Deadline-Milliseconds | soon         | deadline_ms   | 61000   |
      | Authorization                       | Bearer abc   | key           | abc     |
      | Authorization                       | bearer abc   | key           | abc     |
      | Authorization                       | Basic abc    | key           | None    |
      | Last-Event-Id                       | 12           | resume_after  | 12      |
      | Resumes                             | 5c1e         | resumes       | 5c1e    |
      | Host                                | Shop.x:80    | host          | shop.x  |
      | Host                                | shop.x       | host          | shop.x  |

  Scenario Outline: response status and headers
    Then a response <status> with "<headers>" has <field> "<found>"

    Examples:
      | status | headers                              | field       | found |
      | 503    | X-Hickorybeam-Not-Executed: 1        | not_run     | True  |
      | 503    |                                      | not_run     | False |
      | 503    |                                      | implies_not_run | True  |
      | 421    |                                      | not_run     | True  |
      | 421    |                                      | misdirected | True |
      | 200    | X-Hickorybeam-Response-Signature: s  | signed      | True  |
      | 200    |                                      | signed      | False |
      | 200    | X-Hickorybeam-Cold-Milliseconds: 900 | cold_ms     | 900   |
      | 200    | X-Hickorybeam-Server-Load: 1,2       | load        | None  |
      | 200    | X-Hickorybeam-Server-Load: 3,1,8     | load        | ServerLoad(running=3, waiting=1, slots=8, time_factor=None, has_invalid_factor=False) |
      | 200    | X-Hickorybeam-Server-Load: 3,1,8,250 | load        | ServerLoad(running=3, waiting=1, slots=8, time_factor=2.5, has_invalid_factor=False) |
      | 200    | X-Hickorybeam-Server-Load: 3,1,8,0   | load        | ServerLoad(running=3, waiting=1, slots=8, time_factor=None, has_invalid_factor=True) |
      | 200    | X-Hickorybeam-Server-Load: 3,1,8,-9  | load        | ServerLoad(running=3, waiting=1, slots=8, time_factor=None, has_invalid_factor=True) |
      | 200    | X-Hickorybeam-Server-Load: 3,1,8,nan | load        | ServerLoad(running=3, waiting=1, slots=8, time_factor=None, has_invalid_factor=True) |
      | 200    | X-Hickorybeam-Server-Load: 3,1,8,9999999 | load    | ServerLoad(running=3, waiting=1, slots=8, time_factor=None, has_invalid_factor=True) |
      | 200    | X-Hickorybeam-Server-Load: 3,1,8,100,7   | load    | None  |
      | 200    | X-Hickorybeam-Server-Load: 3,-1,8,100    | load    | None  |
      | 200    | X-Hickorybeam-Server-Load: 3,1,99999999999999999999,100 | load | None |
      | 200    |                                      | limit_per_s | inf   |
      | 200    | Server-Limit: 2.1                    | limit_per_s | 2.1   |
      | 503    | Server-Limit: 0                      | limit_per_s | 0.0   |
      | 200    | Server-Limit: 3e9                    | limit_per_s | None  |
      | 200    | Server-Limit: -1                     | limit_per_s | None  |
      | 200    | Server-Limit: nan                    | limit_per_s | None  |
      | 200    | Server-Limit: 1234567890123456       | limit_per_s | None  |
      | 200    | Server-Limit: a few                  | limit_per_s | None  |
      | 200    | Server-Leaving: 1                    | leaving     | True  |
      | 503    | Server-Leaving: 1                    | leaving     | True  |
      | 200    |                                      | leaving     | False |
      | 200    | Server-Leaving: 0                    | leaving     | False |
      | 200    | Server-Leaving: -1                   | leaving     | False |
      | 200    | Server-Leaving: 11                   | leaving     | False |
      | 200    | Server-Leaving: soon                 | leaving     | False |
      | 503    | Retry-After: 3                       | rest_ms     | 3000  |
      | 503    | Retry-After: 0.2504                  | rest_ms     | 251   |
      | 429    | Retry-After: 1                       | rest_ms     | 1000  |
      | 200    | Retry-After: 3                       | rest_ms     | 0     |
      | 503    |                                      | rest_ms     | 0     |
      | 503    | Retry-After: 0                       | rest_ms     | 0     |
      | 503    | Retry-After: -3                      | rest_ms     | 0     |
      | 503    | Retry-After: inf                     | rest_ms     | 0     |
      | 503    | Retry-After: 999999999999999         | rest_ms     | 3600000 |
      | 503    | Retry-After: Thu, 03 Dec 2026        | rest_ms     | 0     |
      | 200    | Content-Type: text/event-stream      | streamed    | True  |
      | 200    | Content-Type: Text/Event-Stream;charset=utf-8 | streamed | True |
      | 200    | Content-Type: text/event-streams     | streamed    | False |
