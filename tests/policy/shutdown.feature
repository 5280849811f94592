Feature: what a VM that shuts down still takes

  # What a caller sees: its stream is cut in the middle, by a VM that took it late in its grace
  # period. Everything is taken at first, while callers hold lists that name the VM; then only what
  # ends before the process does; then nothing.
  Scenario Outline: of a grace period of 8 s
    Then <since> ms after it began a request with <left> ms left surely ends there: <ends>

    Examples:
      | since | left  | ends |
      | 0     | 7600  | yes  |
      | 0     | 7601  | no   |
      | 1000  | 3000  | yes  |
      | 4500  | 3000  | yes  |
      | 4500  | 3200  | no   |
      | 4600  | 100   | no   |
