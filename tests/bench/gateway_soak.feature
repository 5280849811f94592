Feature: a short soak of the gateway's real processes, with fixed seeds

  # Guards against streams with events of two versions, and against those that could go on and don't.
  Scenario Outline: no promise is broken
    When the gateway's soak runs for <seconds> s with seed <seed> and <faults>
    Then it tells no violation

    Examples:
      | seed | seconds | faults                              |
      | 3    | 12      | only the fault "kill_under_streams" |
      | 4    | 12      | only the fault "release"            |
