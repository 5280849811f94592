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
