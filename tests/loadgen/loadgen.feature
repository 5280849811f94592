Feature: seeded open-loop load and reports of what callers received

  Scenario: a plan always gives the same arrivals, and an account's rate changes only its own
    Given a load plan with accounts "big at 50/s, small at 5/s" for 10 s
    Then the load plan drawn twice is the same
    And raising "big" to 200 per second leaves the arrivals of "small" unchanged
    And the arrivals of "big" are within 15% of 500

  Scenario: the report counts responses, refusals, latency and cost
    Given load outcomes
      | account | code         | region | first_ms | tokens |
      | a       |              | r1     | 100      | 10     |
      | a       |              | r2     | 300      | 10     |
      | a       | rate_limited |        | 0        | 0      |
      | b       |              | r1     | 50       | 20     |
    When the load report is made with homes "a=r1, b=r1" and costs "r1=1, r2=2"
    Then the load report shows worst account "a" at 0.667
    And the load report shows elsewhere 0.333 and cost 0.05
    And the load report shows that account "a" was refused "rate_limited" 1 time
    And the load report shows that the first token of "a" at 95 in 100 took 300 ms

  # Guards against a load run that takes a broken answer for a whole one, or the other way round, by where its
  # reads end, or that ends with it.
  Scenario Outline: whether an answer was whole doesn't depend on where its reads end
    Given a server answers the load with <status> and the body "<body>" in chunks of <size> bytes
    When the load sends it one request
    Then the load's outcome has code "<code>" and <tokens> tokens

    Examples:
      | status | body                                              | size | code     | tokens |
      | 200    | data: {"content"}\n\ndata: {"content"}\n\ndata: [DONE]\n\n | 1000 |          | 2      |
      | 200    | data: {"content"}\n\ndata: {"content"}\n\ndata: [DONE]\n\n | 5    |          | 2      |
      | 200    | data: {"content"}\r\n\r\ndata: [DONE]\r\n\r\n     | 1    |          | 1      |
      | 200    | data: {"content"}\n\n                             | 1000 | cut_off  | 1      |
      | 200    | data: {"content"}\n\ndata: [DO                    | 1000 | cut_off  | 1      |
      | 200    | data: {"content":"data: [DONE]"}\n\n              | 1000 | cut_off  | 1      |
      | 503    | {"error":{"code":"overl                           | 1000 | cut_off  | 0      |
      | 503    | {"error":{"code":"overloaded","ran":"no"}}        | 1000 | overloaded | 0    |
