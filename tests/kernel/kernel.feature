Feature: services find each other by name and are supervised

  Scenario: neighbours start first and stop last
    Given a kernel with services "front needs dispatch, dispatch needs config, config"
    When the kernel runs and is stopped
    Then the events are "start config, start dispatch, start front, drain front, drain dispatch, drain config, stop front, stop dispatch, stop config"

  Scenario Outline: a wrong table of services is refused before anything starts
    Given a kernel with services "<services>"
    Then running the kernel fails with "<text>"

    Examples:
      | services            | text                |
      | a needs b, b needs a | circle              |
      | a needs missing      | not registered      |

  Scenario: a crashed service starts again while its neighbours go on
    # The caller sees nothing: the crashed service's task ends, the supervisor waits and runs
    # it anew, and the neighbour's task is never cancelled.
    Given a kernel with services "steady, shaky"
    And service "shaky" crashes 2 times
    When the kernel runs until "shaky" has started 3 times
    Then service "steady" started 1 times

  Scenario: a service that never finishes its work cannot keep the process
    # The operator stops the VM; one service waits for a stream that never ends. Its neighbours
    # still get their turn to finish, and the process ends after the limit.
    Given a kernel with services "stuck needs steady, steady" and 50 ms to finish
    And service "stuck" never finishes
    When the kernel runs and is stopped
    Then the events are "start steady, start stuck, drain stuck, drain steady, stop stuck, stop steady"
