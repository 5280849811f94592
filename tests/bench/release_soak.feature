Feature: a short soak of releases beside VMs that are out of step, with a fixed seed

  # Guards against streams that go on at another version than that of the servers that began them.
  Scenario Outline: no stream has events of two versions
    When the soak of releases runs for <seconds> s with seed <seed> and <faults>
    Then it tells no violation

    Examples:
      | seed | seconds | faults            |
      | 5    | 12      | the fault cut_off |
