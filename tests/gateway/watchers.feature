Feature: in a large data centre a few VMs watch the store and tell the others

  Background:
    Given a small gateway with VMs "n1, n2, n3, n4, n5, n6"

  Scenario: two VMs watch, and a withdrawn key stops working at all
    # Each change ends the waiting call of every watch, and calls are paid for.
    When 2 VMs watch the store
    And the key of "large" is withdrawn
    Then within 2 s a caller of "large" gets 401 from every VM
    And the withdrawal cost at most 6 calls of watches

  Scenario: the watchers crash while a key is withdrawn
    # The others hear nothing more from them. They notice within about a second, and the next
    # in order watch from where their own knowledge ends, without reading all anew.
    When 2 VMs watch the store
    And both watchers crash and the key of "large" is withdrawn
    Then within 4 s a caller of "large" gets 401 from every VM that is left

  Scenario: the watchers lose the store while the others reach it
    # The store turns the watchers away. They say that they don't follow it any more, and others
    # take over. What these tell is taken by the former watchers too: left to their own attempts,
    # they would let the key work for as long as they are turned away.
    When 2 VMs watch the store
    And the store turns both watchers away and the key of "large" is withdrawn
    Then within 4 s a caller of "large" gets 401 from every VM that reaches the store
    And within 4 s a caller of "large" gets 401 from every VM

  Scenario: a VM that asks for changes which nobody keeps any more reads the store
    When 2 VMs watch the store
    And the watchers have forgotten all changes and the key of "large" is withdrawn
    Then within 4 s a caller of "large" gets 401 from every VM
