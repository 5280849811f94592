Feature: a short soak of servers that send bytes of no request, with fixed seeds

  # Guards against answers and promises that rest on responses of nobody, beside every other fault.
  Scenario Outline: bytes of no request break no promise
    When the soak of strays runs for <seconds> s with seed <seed> and <faults>
    Then it tells no violation

    Examples:
      | seed | seconds | faults                  |
      | 5    | 10      | only the fault "stray"  |
      | 6    | 15      | all faults              |
