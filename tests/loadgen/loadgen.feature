Feature: the load generator sends an open loop from a seed and reports what callers received

  Scenario: the same plan gives the same arrivals, and one account's rate moves no other's
    Given a load plan with accounts "big at 50/s, small at 5/s" for 10 s
    Then the load plan drawn twice is the same
    And raising "big" to 200 per second leaves the arrivals of "small" as they were
    And the arrivals of "big" are within 15% of 500

  Scenario: a report judges by what callers received
    Given load outcomes
      | account | code         | region | first_ms | tokens |
      | a       |              | r1     | 100      | 10     |
      | a       |              | r2     | 300      | 10     |
      | a       | rate_limited |        | 0        | 0      |
      | b       |              | r1     | 50       | 20     |
    When the load report is made with homes "a=r1, b=r1" and costs "r1=1, r2=2"
    Then the load report says worst served "a" at 0.667
    And the load report says elsewhere 0.333 and cost 0.05
    And the load report says account "a" was refused "rate_limited" 1 time
    And the load report says the first token of "a" at 95 in 100 took 300 ms
