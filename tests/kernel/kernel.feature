Feature: services start in dependency order, are supervised and are drained

  Scenario: a service starts after the services that it needs and stops before them
    Given a kernel with services "front needs dispatch, dispatch needs config, config"
    When the kernel runs and is stopped
    Then the events are "start config, start dispatch, start front, drain front, drain dispatch, drain config, stop front, stop dispatch, stop config"

  Scenario Outline: dependencies that can't be met are rejected before any service starts
    Given a kernel with services "<services>"
    Then running the kernel fails with "<text>"

    Examples:
      | services            | text                |
      | a needs b, b needs a | circle              |
      | a needs missing      | not registered      |

  Scenario: a crashed service is restarted while other services keep running
    # Guards against a crash that stops other services. The supervisor pauses, then restarts only
    # the crashed service; the other service's task is not cancelled and its callers see nothing.
    Given a kernel with services "steady, shaky"
    And service "shaky" crashes 2 times
    When the kernel runs until "shaky" has started 3 times
    Then service "steady" started 1 times

  Scenario: a service that never finishes draining doesn't keep the process running
    # The operator stops the VM while one service waits for a stream that never ends. The other
    # services are still drained, and the process ends after the limit.
    Given a kernel with services "stuck needs steady, steady" and a drain limit of 50 ms
    And service "stuck" never finishes draining
    When the kernel runs and is stopped
    Then the events are "start steady, start stuck, drain stuck, drain steady, stop stuck, stop steady"

  # Guards against work that is cut off at the limit that was set when the process started.
  Scenario Outline: the drain limit may change while the kernel runs, and while it drains
    Given a kernel with services "slow" and a drain limit of 50 ms
    And service "slow" takes 300 ms to drain
    When the kernel runs and is stopped, and the drain limit is set to 5000 ms <moment>
    Then service "slow" was drained

    Examples:
      | moment           |
      | before that      |
      | 20 ms after that |
