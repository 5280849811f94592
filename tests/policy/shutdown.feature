Feature: which requests a VM that shuts down still accepts

  # A request accepted late in the grace period would have its stream cut off in the middle. All
  # requests are accepted at first, while callers hold lists that name the VM; then only those that
  # end before the process does; then none.
  Scenario Outline: requests during a grace period of 8 s
    Then <since> ms after the start a request with <left> ms left is accepted: <accepted>

    Examples:
      | since | left  | accepted |
      | 0     | 7600  | yes      |
      | 0     | 7601  | no       |
      | 1000  | 3000  | yes      |
      | 4500  | 3000  | yes      |
      | 4500  | 3200  | no       |
      | 4600  | 100   | no       |
