Feature: the stand-in model engine on the platform's wire

  Scenario: a stream has an event for each token, and the load is told
    Given a stand-in model engine of 2 slots
    When the engine is asked for 3 tokens
    Then the engine's answer is a stream of 3 events
    And the engine's answer tells a load of 2 slots

  Scenario: an engine whose queue is full rejects as not run
    # One slot and two places in its queue: the fourth request is told that it was not run.
    Given a stand-in model engine of 1 slots
    When 3 callers hold the engine
    And the engine is asked for 3 tokens
    Then the engine's answer is 503, not run

  Scenario: a caller that leaves gives its slot back
    # A caller that holds the only slot leaves; the next one's stream begins.
    Given a stand-in model engine of 1 slots
    When 1 callers hold the engine
    And the callers that hold the engine leave
    And the engine is asked for 3 tokens
    Then the engine's answer is a stream of 3 events
