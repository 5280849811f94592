Feature: deadlines of connections, looked over by one task

  Background:
    Given a watchdog that looks every 50 ms and a deadline of 400 ms

  Scenario: a deadline that passes is noticed
    When 460 ms pass
    Then the deadline has expired

  Scenario: a deadline that is moved on, as bytes arrive, does not pass
    When 300 ms pass and the deadline is moved by 400 ms
    And 300 ms pass
    Then the deadline has not expired
    When 150 ms pass
    Then the deadline has expired

  Scenario: the process's own stall is not the other end's silence
    # The process is frozen for longer than the deadline while an answer waits in its socket.
    # On waking, it must read before it judges: the deadline moves by the stall. An other end
    # that stays silent is still noticed.
    When the process stands still for 600 ms after 100 ms
    Then the deadline has not expired
    When 200 ms pass
    Then the deadline has not expired
    When 150 ms pass
    Then the deadline has expired
