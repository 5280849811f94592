Feature: a budget of the memory that callers' bytes take, and who yields

  Background:
    Given a budget of 10 MB

  # Beside a crowd that holds all the rest, an ordinary caller must find room.
  Scenario: small bodies find room beside a crowd of unfinished ones
    Given 10 holders took 1 MB each, 2000 ms ago
    When a holder asks for 50 kB
    Then it has room
    And 1 holder yielded

  Scenario: what yields is as much as is needed, with some to spare
    Given 10 holders took 1 MB each, 2000 ms ago
    When a holder asks for 2500 kB
    Then it has room
    And 3 holders yielded

  # A large body that comes in one go weighs less than a smaller one that stopped long ago.
  Scenario: what has been held for longest yields to what came just now
    Given 20 holders took 500 kB each, 5000 ms ago
    When a holder asks for 2 MB
    Then it has room
    And 5 holders yielded

  Scenario: the largest yields among those of the same age
    Given 9 holders took 1 MB each, 1000 ms ago
    And 1 holder took 900 kB each, 1000 ms ago
    When a holder asks for 200 kB
    Then it has room
    And the holder of 900 kB did not yield

  Scenario: whoever weighs most has to yield itself
    Given 10 holders took 1 MB each, 0 ms ago
    When a holder asks for 1500 kB
    Then it has no room
    And 0 holders yielded

  # A request that runs may have had its effect; nothing can be taken back from it.
  Scenario: large requests that run have a share, and small ones find room beside them
    Given requests of 1 MB run as many as have room
    Then 7 of them run
    When a request of 60 kB starts to run
    Then it has room

  Scenario: requests that ended make room
    Given requests of 1 MB run as many as have room
    When 1 of them ends
    And a request of 1000 kB starts to run
    Then it has room

  # A reservation that some way out does not give back, or gives back twice, ends in refusals of all.
  Scenario: whatever holders and requests do, the sum is what they hold
    Then 300 drawn series of steps never take more than the budget, and leave nothing
