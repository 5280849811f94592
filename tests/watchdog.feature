Feature: deadlines of connections, checked by one task

  Background:
    Given a watchdog that checks every 50 ms and a deadline of 400 ms

  Scenario: a deadline that has passed expires
    When 460 ms pass
    Then the deadline has expired

  Scenario: a deadline that is extended, as when bytes arrive, does not expire
    When 300 ms pass and the deadline is extended by 400 ms
    And 300 ms pass
    Then the deadline has not expired
    When 150 ms pass
    Then the deadline has expired

  Scenario: a stall of the process is not taken for silence of the other end
    # The process is frozen for longer than the deadline while a response waits in its socket. The
    # deadline must be extended by the stall, so that the response is read first. If the other end
    # stays silent, the deadline still expires.
    When the process is frozen for 600 ms after 100 ms
    Then the deadline has not expired
    When 200 ms pass
    Then the deadline has not expired
    When 150 ms pass
    Then the deadline has expired
