Feature: logging never blocks the process

  Scenario: a decision is logged as one flat JSON object
    Given a process that logs to a pipe
    When a decision "late" is logged with request "ab12" and first_ms 700
    And its logging ends
    Then a line has event "late", request "ab12" and first_ms 700

  Scenario: requests are served while nobody reads the log
    # The reader of standard error hangs. If the event loop's thread wrote the lines, the first one
    # that doesn't fit into the pipe would block the process for good.
    Given a process that logs to a pipe
    And a small gateway with a VM
    When 3000 lines of 200 bytes are logged and nobody reads them
    Then a caller gets 200 from the VM

  Scenario: dropped lines are counted and reported
    Given a process that logs to a pipe
    When 3000 lines of 200 bytes are logged and nobody reads them
    And the pipe is read until it is quiet, and one more line is logged
    # The writer frees room in the queue while the pipe has room: several lines may report drops.
    Then the last line is that one, and the lines together report how many were dropped
    And the metric has the same number
    And every line that was not dropped arrived

  Scenario: queued lines are written before the process ends
    Given a process that logs to a pipe
    When 100 lines of 200 bytes are logged
    And its logging ends
    Then 100 lines arrived

  Scenario: a process ends although nobody reads its last lines
    Given a process that logs to a pipe
    When 3000 lines of 200 bytes are logged and nobody reads them
    Then its logging ends within 1500 ms

  Scenario: an error's traceback is part of its line
    Given a process that logs to a pipe
    When an error is logged with its traceback
    And its logging ends
    Then a line has event "failed" and an error that names "ZeroDivisionError"
