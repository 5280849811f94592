Feature: log lines leave the process without holding it up

  Scenario: a decision is one flat object
    Given a process that logs to a pipe
    When a decision "late" is logged with request "ab12" and first_ms 700
    And its lines are finished
    Then a line has event "late", request "ab12" and first_ms 700

  Scenario: requests are answered while nobody reads the lines
    # The reader of standard error stands still. Written in the event loop's thread, the first
    # line that doesn't fit into the pipe would stop the process for good.
    Given a process that logs to a pipe
    And a small gateway with a VM
    When 3000 lines of 200 bytes are logged and nobody reads them
    Then a caller gets 200 from the VM

  Scenario: what finds no room is counted and told
    Given a process that logs to a pipe
    When 3000 lines of 200 bytes are logged and nobody reads them
    And the pipe is read until it is quiet, and one more line is logged
    # While the pipe still has room, the queue gets some again: losses are then told by several lines.
    Then the last line is that one, and the lines tell together how many were lost
    And the metric tells the same number
    And as many lines came as were not lost

  Scenario: the last lines before an end are written
    Given a process that logs to a pipe
    When 100 lines of 200 bytes are logged
    And its lines are finished
    Then 100 lines came

  Scenario: a process ends although nobody reads its last lines
    Given a process that logs to a pipe
    When 3000 lines of 200 bytes are logged and nobody reads them
    Then its lines are given up within 1500 ms

  Scenario: an error's trace is part of its line
    Given a process that logs to a pipe
    When an error is logged with its trace
    And its lines are finished
    Then a line has event "failed" and an error that names "ZeroDivisionError"
