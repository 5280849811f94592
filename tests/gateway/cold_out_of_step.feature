Feature: servers that turn cold are found by VMs that hear nothing of the store

  # Guards against VMs that take over the watch of a silent store, one pair after the other, and count
  # as watchers before it has answered them: until the last pair fails, no VM checks any server.
  Scenario Outline: a server turns cold while the store answers no VM
    Given a linked gateway of VMs "<vms>"
    When the store falls silent to all VMs
    And server "m1" turns cold for 60000 ms
    Then within 6 s every VM knows that server "m1" is cold
    And all VMs still serve callers of "small"

    Examples:
      | vms                                                                                        |
      | n1@north-1, n2@north-1, n3@north-1                                                         |
      | n1@north-1, n2@north-1, n3@north-1, n4@north-1, n5@north-1, n6@north-1                     |
      | n1@north-1, n2@north-1, n3@north-1, n4@north-1, n5@north-1, n6@north-1, t1@north-2         |

  # Guards against VMs that reach the store and rely on watchers that it leaves unanswered.
  Scenario: a key is revoked while the store answers neither watcher
    Given a linked gateway of VMs "n1@north-1, n2@north-1, n3@north-1, n4@north-1, n5@north-1, n6@north-1"
    When the store falls silent to the watchers
    And the key of "large" is revoked
    Then within 6 s a caller of "large" gets 401 from every VM that reaches the store

  # Guards against a VM that is cut off from everything and waits for its poll to end before it checks
  # the servers that it sends to.
  Scenario Outline: a server turns cold while one VM hears nobody
    Given a linked gateway of VMs "<vms>"
    When "n1" loses the store and other VMs in silence
    And server "m1" turns cold for 60000 ms
    Then within 3 s "n1" knows that server "m1" is cold
    And all VMs still serve callers of "small"

    Examples:
      | vms                                                                                |
      | n1@north-1, n2@north-1, n3@north-1                                                 |
      | n1@north-1, t1@north-2                                                             |
      | n1@north-1, n2@north-1, n3@north-1, n4@north-1, n5@north-1, n6@north-1, t1@north-2 |

  # Guards against a VM that acts on old news, of which neither metrics nor the log tell the age.
  Scenario: metrics and the log tell how old the news is that a VM acts on
    Given a linked gateway of VMs "n1@north-1, n2@north-1, t1@north-2"
    Then metrics of "n1" tell news of the store and of "north-1, north-2" that is at most 7000 ms old
    When "n1" loses the store and other VMs in silence
    And "n1" hears nobody
    Then metrics of "n1" tell news of the store and of "north-1, north-2" that is at least 1000 ms old
    And the log tells on what ground "n1" checks servers for coldness

  # Guards against checks, each of which is paid for, by a VM that hears of the store alone.
  Scenario: a VM that loses the others only stops its checks once the store has answered
    Given a linked gateway of VMs "n1@north-1, n2@north-1, n3@north-1"
    When "n1" loses other VMs in silence
    And "n1" hears nobody
    Then within 7 s "n1" hears the store, and sends no checks in 1.5 s then
