Feature: what a VM knows is confirmed by calls to the store that many questions share

  # Guards against an answer that left the store before the question came.
  Scenario: who asks while a call is under way waits for the next one
    Given confirmations by a store that answers when told
    When "a" asks for a confirmation
    And "b, c" ask for a confirmation
    And the store answers
    Then "a" are confirmed and "b, c" wait
    And the store got 1 calls
    When 50 ms pass for the confirmations
    And the store answers
    Then "a, b, c" are confirmed and "" wait
    And the store got 2 calls

  # Guards against calls without end while the store fails.
  Scenario: a call that fails confirms nothing, and the next one waits
    Given confirmations by a store that answers when told
    When "a" asks for a confirmation
    And the store fails
    Then "a" have been told that nothing is confirmed
    And the store is overdue
    When "b" asks for a confirmation
    Then the store got 1 calls
    When 500 ms pass for the confirmations
    Then the store got 2 calls
    When the store answers
    Then "b" are confirmed and "" wait
    And the store is not overdue

  # Guards against each question waiting for a store that is silent.
  Scenario: a store that leaves a call unanswered is overdue
    Given confirmations by a store that answers when told
    When "a" asks for a confirmation
    And 250 ms pass for the confirmations
    Then the store is not overdue
    When 1 ms pass for the confirmations
    Then the store is overdue

  # Guards against a confirmation that ends a watch which works, where the store is at its limit.
  Scenario: a confirmation that fails is no failure of the watch
    Given a gateway of VMs "n1@north-1"
    And all VMs have run for 2 s
    When a confirmation of "n1" is refused by the store
    Then "n1" watches the store, and its poll goes on

  # Guards against a version that came and went between two whole reads.
  Scenario: a VM that has read everything anew follows the store from there on
    Given a gateway of VMs "n1@north-1"
    And all VMs have run for 5 s
    When the store has compacted a change that "n1" has not seen
    Then "n1" has followed the store for less than 5 s

  # Guards against a call to the store for each stream.
  Scenario: streams that are taken up at once share calls to the store
    Given a gateway of VMs "n1@north-1, n2@north-1"
    And model servers "m1:v1@north-1"
    And all VMs have run for 5 s
    When callers take up 8 streams that no VM has served at "n1"
    Then each stream goes on to its end at version "v1"
    And they cost at most 4 polls of the store

  # Guards against a late answer that undoes what a later one has shown.
  Scenario: changes that are known already undo nothing
    Given a gateway of VMs "n1@north-1"
    And model servers "m1:v1@north-1"
    When "n1" gets changes of an earlier revision that remove "m1"
    Then "n1" knows servers "m1"
