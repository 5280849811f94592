Feature: settings that change while the daemon runs

  Scenario: a changed file is taken over with no signal, and nothing is cut
    # The platform writes the file anew. A stream that runs meanwhile ends properly, and the
    # new bounds hold from then on.
    Given a daemon before a small gateway's store, started from a settings file
    When its settings file says "repeat_allowance: 7" while a stream runs
    Then within 5 s its repeats are bounded by 7
    And the stream was whole with events 1 to 6

  Scenario: a file with faults changes nothing
    Given a daemon before a small gateway's store, started from a settings file
    When its settings file says "repeat_allowance: 'many'" and it reads it
    Then its repeats are bounded by 40

  Scenario: what needs a restart is said and not half done
    Given a daemon before a small gateway's store, started from a settings file
    When its settings file says "callers: '127.0.0.1:1'" and it reads it
    Then it still serves callers
