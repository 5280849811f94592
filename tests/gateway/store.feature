Feature: what a VM does while the store fails

  Scenario: what is known stays in force while the store is out
    Given a small gateway
    When the store goes silent
    And a caller of "small" asks "n1" for "/look/x"
    Then the caller gets 200

  Scenario: an older configuration changes nothing
    # A stale read or a lagging VM hands out an older version. Taken over, it would bring back
    # withdrawn keys.
    Given a small gateway
    When the operator withdraws the key of "large" in version 9
    And an older configuration, of version 5, reaches "n1"
    And a caller of "large" asks "n1" for "/look/x"
    Then the caller gets 401

  Scenario: changes that were made while the history was lost are found
    Given a small gateway
    When the history is dropped while the key of "large" is withdrawn
    And a caller of "large" asks "n1" for "/look/x"
    Then the caller gets 401

  Scenario: a VM that starts while the store is out learns from another VM
    Given a small gateway
    When the store goes silent
    And VM "n2" starts with "n1" as its seed
    And a caller of "small" asks "n2" for "/look/x"
    Then the caller gets 200

  Scenario: a VM that knows no configuration refuses as not run
    Given a gateway without a configuration
    When a caller of "small" asks "n1" for "/look/x"
    Then the caller gets 503 with a time to come back
    And "n1" is not ready

  Scenario: a VM that has just started holds its callers until it has read the configuration
    # All VMs were killed and start again. Callers connect at once, half a second before the VM
    # has read the configuration from a store in another region. Refused as not run, they come
    # back after that time, and one that was refused before has no further try.
    Given a gateway without a configuration
    When the operator writes the first configuration 300 ms after a caller of "small" asks "n1" for "/look/x"
    Then the caller gets 200

  Scenario: servers that lapsed with the store are kept until it has been back for a while
    # The leases of all servers run out while the store is out; the servers are alive and
    # register again about 2 s after its return. Dropped at once, every request would fail.
    Given a small gateway
    When the store goes out and loses the entry of "b1"
    And the store is back
    And a caller of "small" asks "n1" for "/look/x"
    Then the caller gets 200
    And "n1" drops server "b1" within 4 s

  Scenario: a VM whose registration lapsed registers again
    Given a small gateway
    When the registration of "n1" lapses
    Then "n1" is registered again within 4 s

  Scenario: a watch that went silent is found by another VM's word
    # The connection of one VM's watch was forgotten on the way: no error and no change arrives on
    # it. The other VM learns that a key was withdrawn; its word makes the first one read anew.
    Given a small gateway with VMs "n1, n2"
    When the watch of "n1" goes silent and the key of "large" is withdrawn
    And a caller of "large" asks "n1" for "/look/x" within 5 s of that
    Then the caller gets 401

  Scenario: a change made while the store was silent is in force soon after its return
    # The store fell silent under a watch, whose connection hears nothing more after the store
    # is back; it shows no error either. A key was withdrawn meanwhile. The first other call that
    # works after one that failed tells that there was an outage, and all is read anew.
    Given a small gateway
    When the watch of "n1" goes silent and the key of "large" is withdrawn
    And a call of "n1" finds the store silent and the next one works
    And a caller of "large" asks "n1" for "/look/x" within 2 s of that
    Then the caller gets 401

  Scenario: a word about a change that came meanwhile makes nobody read anew
    # Another VM was ahead for a moment; what it knew came here as no change to any entry. Long
    # after that it is ahead again, for a moment. Taken for the same wait, every VM would read
    # all entries anew at each change.
    Given a small gateway
    When another VM knows a change that "n1" lacks, and it comes as no change to any entry
    And another VM knows a later change 10 s after that
    Then "n1" reads nothing anew
    When other changes come meanwhile
    And it still lacks that change after 4 s more
    Then "n1" reads all anew

  Scenario: a VM whose calls of the store stay unanswered learns from the one beside it
    # The store leaves one VM's calls unanswered and serves the others. That VM hears that it
    # lacks a change, and each of its own attempts to read takes seconds to fail; until then it
    # would let a withdrawn key work, and send to servers that turned cold.
    Given a small gateway with VMs "n1, n2"
    When the store leaves calls of "n1" unanswered and the key of "large" is withdrawn
    And a caller of "large" asks "n1" for "/look/x" within 3 s of that
    Then the caller gets 401

  Scenario: a VM whose read of the store stays unanswered goes on learning from the one beside it
    # The store leaves one VM's calls unanswered for longer than two changes are apart. It learns
    # the first from the VM beside it and begins to read the store. What comes while that read
    # hangs would be unknown until it fails: a withdrawn key would work, and servers that turned
    # cold would get the full rate.
    Given a small gateway with VMs "n1, n2"
    When the store leaves each call of "n1" unanswered for 6 s and the key of "large" is withdrawn
    And a caller of "large" asks "n1" for "/look/x" within 3 s of that
    Then the caller gets 401
    When the key of "northern" is withdrawn
    And a caller of "northern" asks "n1" for "/look/x" within 2 s of that
    Then the caller gets 401
    When the store answers "n1" again
    And the key of "small" is withdrawn
    And a caller of "small" asks "n1" for "/look/x" within 8 s of that
    Then the caller gets 401
