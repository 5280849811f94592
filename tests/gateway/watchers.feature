Feature: in a large data centre a few VMs watch the store and pass its changes to the others

  Background:
    Given a small gateway with VMs "n1, n2, n3, n4, n5, n6"

  Scenario: two VMs watch, and a revoked key stops working at every VM
    # Each change ends the pending call of every watch, and calls are billed.
    When 2 VMs watch the store
    And the key of "large" is revoked
    Then within 2 s a caller of "large" gets 401 from every VM
    And the revocation took at most 6 watch calls

  Scenario: the watchers crash while a key is revoked
    # The others receive no more reports from them. They notice within about a second, and the next
    # VMs in order start to watch from their own revision, without reading all entries again.
    When 2 VMs watch the store
    And both watchers crash and the key of "large" is revoked
    Then within 4 s a caller of "large" gets 401 from every VM that still runs

  Scenario: the watchers lose the store while the others reach it
    # The store rejects the watchers. They report that they no longer watch it, and others take
    # over. The former watchers get the changes from these too: left to their own reads, they would
    # accept the revoked key for as long as they are rejected.
    When 2 VMs watch the store
    And the store rejects both watchers and the key of "large" is revoked
    Then within 4 s a caller of "large" gets 401 from every VM that reaches the store
    And within 4 s a caller of "large" gets 401 from every VM

  Scenario: a VM that requests changes which no watcher keeps any more reads the store
    When 2 VMs watch the store
    And the watchers have dropped all changes and the key of "large" is revoked
    Then within 4 s a caller of "large" gets 401 from every VM
