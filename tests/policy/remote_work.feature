Feature: what was sent to another region counts there before a forecast shows it

  # Guards against a small region being buried by others' excess. Two regions at their peak have
  # more prompts than their servers prefill in time; a third one with three servers has room and
  # forecasts so once a second. Both rely on that until its next forecast, so all of their excess
  # of that time goes there at once: those prompts are late, and so are its own callers'.
  Scenario: two regions at their peak don't bury a small third one
    Given two regions of 6 servers, and a third of 3 whose forecast is 500 to 1500 ms old
    When each of the two gets 90 prompts of 80 ms a second for 6 s, and the third 20, with an objective of 1000 ms
    Then where what was sent counts, at least 3 of 100 more of the third region's callers are on time
    And more callers are on time in all

  Scenario Outline: what its servers can't prefill as it comes waits there
    Given <count> prompts of 100 ms were sent to a region of <servers> servers <ago> ms ago
    Then its servers wait <least> to <most> ms more than its forecast <age> ms ago

    Examples:
      | count | servers | ago  | age  | least | most |
      | 20    | 1       | 0    | 500  | 985   | 995  |
      | 20    | 2       | 0    | 500  | 325   | 335  |
      | 16    | 4       | 0    | 500  | 0     | 0    |
      | 20    | 1       | 0    | 0    | 235   | 245  |
      | 20    | 1       | 5000 | 500  | 0     | 0    |
      | 20    | 0       | 0    | 500  | 985   | 995  |
      | 4     | 1       | 0    | 500  | 0     | 0    |
