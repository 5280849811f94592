@alone
Feature: a short soak of crowds beside kills, restarts and drains, with fixed seeds

  # Guards against reservations that some way out does not give back, and against VMs that crowds end.
  Scenario Outline: no VM ends, and no promise is broken
    When the soak of crowds runs for <seconds> s with seed <seed> and all crowds
    Then it tells no violation

    Examples:
      | seed | seconds |
      | 3    | 10      |
      | 4    | 10      |
