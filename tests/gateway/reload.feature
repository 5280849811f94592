Feature: settings that change while the daemon runs

  Scenario: a changed file is reloaded without a signal, and no request is cut off
    # The platform writes the file again. A stream that runs meanwhile ends properly, and the new
    # limits apply from then on.
    Given a daemon of a small gateway, started from a settings file
    When its settings file changes to "repeat_allowance: 7" while a stream runs
    Then within 5 s its retry allowance is 7
    And the stream was complete with events 1 to 6

  Scenario: an invalid file changes nothing
    Given a daemon of a small gateway, started from a settings file
    When its settings file changes to "repeat_allowance: 'many'" and is reloaded
    Then its retry allowance is 40

  Scenario: a setting that needs a restart is not applied in part
    Given a daemon of a small gateway, started from a settings file
    When its settings file changes to "callers: '127.0.0.1:1'" and is reloaded
    Then it still serves callers

  # Guards against streams that are cut at the old grace period, though the platform waits longer.
  Scenario Outline: a shutdown takes the grace period that the settings give now
    Given a daemon of a small gateway, started from a settings file
    And server "m1" takes 400 ms for each event
    When its grace period is raised to 8 s <moment>, and it is stopped while a stream runs
    Then the stream was complete with events 1 to 6

    Examples:
      | moment                      |
      | 100 ms before it is stopped |
      | 500 ms after it is stopped  |
