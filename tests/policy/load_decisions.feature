Feature: each decision of the load policy by itself

  Scenario: backlogged accounts are served by weight, whatever they queue
    # A property over random queues: two accounts that both wait get tokens in the ratio of
    # their weights, to within one job each; every job is taken once.
    Then fair queue shares follow the weights for any jobs

  Scenario: a small account does not wait behind a hot one
    Given a fair queue with 100 jobs of 100 tokens of account "hot"
    When a fair queue job of 100 tokens of account "family" arrives
    Then the fair queue serves "family" within 2 jobs

  Scenario: a cautious maximum does not cost an account its turn
    # Both accounts use 100 tokens a job, but one reserves 1000. After settlement both have
    # been served the same.
    Given a fair queue where "careful" reserves 1000 and "exact" 100 and both use 100
    Then the fair queue serves 20 jobs, at least 9 of each

  Scenario Outline: which calls are retried after a failure
    Then a call that is "<idempotent>" after "<kind>" with ran "<ran>" is retried: "<retried>"

    Examples:
      | idempotent     | kind            | ran     | retried |
      | idempotent     | backend_failed  | unknown | yes     |
      | not idempotent | backend_failed  | unknown | no      |
      | not idempotent | backend_refused | no      | yes     |
      | idempotent     | key_withdrawn   | unknown | no      |
      | idempotent     | rate_limited    | no      | no      |
      | idempotent     | residency       | no      | no      |

  Scenario: retries stay a tenth of the calls however many fail
    # A thousand calls fail one after the other. Without the limit each would be retried, and the
    # servers that still work would get twice the load just then.
    Then 1000 failing calls make at most 110 retries

  Scenario: all servers fail and half of them stay in use
    # The fault may be ours or the network's. Ejecting all would turn a partial fault into a
    # whole one.
    Given health of servers "a b c d"
    When every health server fails 10 times
    Then 2 health servers are ejected

  Scenario: a failing server is in back-off, and then may be tried again
    Given health of servers "a b"
    When health server "a" fails 2 times
    Then health server "a" is in back-off and suspect
    When 300 health ms pass
    Then health server "a" may be tried
    When health server "a" succeeds
    Then health server "a" is not suspect

  Scenario: an ejected server returns by a probe and a ramp-up
    Given health of servers "a b c"
    When health server "a" fails 3 times
    Then health server "a" is "EJECTED" with weight 0
    When 1000 health ms pass
    Then health server "a" is "PROBING" with weight 0.1
    When health server "a" succeeds
    And 2500 health ms pass
    Then health server "a" is "RAMPING" with weight 0.55
    When 2500 health ms pass
    Then health server "a" is "SERVING" with weight 1

  Scenario: a slow probe does not bring a slow server back
    # The probe succeeds but its first token is late. Counted as recovered, the server would
    # get more and more callers who all wait.
    Given health of servers "a b c" whose first tokens take 30 ms
    When health server "a" takes 600 ms for 8 first tokens
    Then health server "a" is "EJECTED" with weight 0
    When 10000 health ms pass
    And health server "a" responds to a probe in 600 ms
    Then health server "a" is "EJECTED" with weight 0

  Scenario: a prefix keeps its server, and only a lost server's prefixes move
    Then of 200 prefixes over 5 servers only those of a lost server move

  Scenario: a hot prefix spreads when its server is loaded above the mean
    Given backend candidates "a b c" with equal load
    When the prefix's own candidate has 3 times the mean load
    Then the prefix goes to the next candidate of its order

  Scenario: other VMs' load counts at once and fades to the mean as its report ages
    Given peer load of 10 requests over a mean of 2
    Then peer load is near 10 at once and near the mean after 10000 ms

  Scenario: two VMs with no common queue converge to equal limits
    # One VM starts with all slots of an engine, the other with one. First tokens take longer for
    # both while more than the slots are used; the larger limit is reduced by more.
    Given adaptive limits of 16 and 1 at an engine of 16 slots
    When both adapt to an engine that slows down above its slots
    Then the adaptive limits differ by at most 4 and use at least 12 slots

  Scenario Outline: when another region is chosen
    Given region choice under profile "<profile>"
    And region "b" reports a wait of <there> ms and <free> free tokens <age> ms ago at price <price>
    Then a job with local wait <here> ms allowed in "<allowed>" goes to "<choice>"

    Examples:
      | profile | there | free  | age  | price | here  | allowed | choice |
      | cheap   | 0     | 90000 | 100  | 1     | 3000  | a b     | b      |
      | cheap   | 0     | 90000 | 100  | 1     | 900   | a b     | here   |
      | fast    | 0     | 90000 | 100  | 1     | 900   | a b     | b      |
      | fast    | 0     | 90000 | 100  | 1     | 200   | a b     | here   |
      | cheap   | 0     | 90000 | 100  | 1     | 3000  | a       | here   |
      | cheap   | 0     | 90000 | 3000 | 1     | 3000  | a b     | here   |
      | cheap   | 0     | 0     | 100  | 1     | 3000  | a b     | here   |
      | cheap   | 0     | 90000 | 100  | 3     | 3000  | a b     | here   |
      | cheap   | 0     | 90000 | 100  | 3     | 9000  | a b     | b      |
      | cheap   | 2500  | 90000 | 100  | 1     | 3000  | a b     | here   |

  Scenario: a region that failed a call gets no jobs during its back-off
    Given region choice under profile "fast"
    And region "b" reports a wait of 0 ms and 90000 free tokens 100 ms ago at price 1
    When region "b" fails a call
    And region "b" reports again 100 ms later with 90000 free tokens
    Then a job with local wait 5000 ms allowed in "a b" goes to "here"
    When region "b" reports again 600 ms later with 90000 free tokens
    Then a job with local wait 5000 ms allowed in "a b" goes to "b"

  Scenario: the quota to a region starts small and doubles while its reports show room
    Given region choice under profile "fast"
    Then the jobs sent to region "b" after each report are "2 4 8 16"

  Scenario: the largest account's low-priority and long jobs are shed first
    Given a fair queue of a large account with a long, a low-priority and a plain job and a small account with one job
    Then jobs are shed in the order "large-low large-long large-plain small"

  Scenario: one account's request bodies leave memory for others
    Given memory for request bodies of 100 bytes
    When account "hot" holds as many bodies of 10 bytes as fit
    Then account "hot" holds at most 50 bytes
    And a body of 10 bytes of account "family" fits
