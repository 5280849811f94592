Feature: a backend server that names a rate limit gets no more than that from all VMs together

  # Allowed in any 4 s, once all VMs have been told: one and a half times the limit, and 5 requests.

  Scenario Outline: VMs that each send more than the limit keep to it together
    Given a small gateway with VMs "<vms>"
    And server "<server>" names a limit of <limit> requests a second
    When every VM has got an answer of server "<server>" for "<path>"
    And callers ask every VM for "<path>" during 6 s
    Then server "<server>" got at most <most> requests in any 4 s
    And server "<server>" got at least <least> requests

    Examples:
      | vms                    | server | path    | limit | most | least |
      | n1                     | b1     | /look/x | 2     | 17   | 5     |
      | n1, n2, n3             | b1     | /look/x | 1     | 11   | 4     |
      | n1, n2, n3             | m1     | /chat/x | 1.4   | 13   | 5     |
      | n1, n2, n3             | b1     | /look/x | 12    | 77   | 40    |
      | n1, n2, n3, n4, n5, n6 | m1     | /chat/x | 2     | 17   | 5     |

  Scenario: requests that another region's VMs forward count as the region's own
    Given a small gateway with a southern region and VMs "n1, n2"
    And server "b9" leaves the store
    And server "b1" names a limit of 1 requests a second
    When every VM has got an answer of server "b1" for "/look/x"
    And callers ask every VM for "/look/x" during 6 s
    Then server "b1" got at most 11 requests in any 4 s

  Scenario: retries of failed requests count towards the limit
    Given a small gateway with VMs "n1, n2, n3"
    And server "b1" names a limit of 1 requests a second
    When every VM has got an answer of server "b1" for "/look/x"
    Given server "b1" has fault "errors" 1000 times
    When callers ask every VM for "/look/x" during 6 s
    Then server "b1" got at most 11 requests in any 4 s

  Scenario: a VM that starts while a limit is in force keeps to it
    Given a small gateway with VMs "n1, n2"
    And server "b1" names a limit of 1 requests a second
    When every VM has got an answer of server "b1" for "/look/x"
    Given VM "n3" has started in the data centre of "n1"
    Then within 3 s every VM knows that server "b1" limits its rate to 1 requests a second
    When callers ask every VM for "/look/x" during 6 s
    Then server "b1" got at most 11 requests in any 4 s

  Scenario Outline: health checks count towards the limit
    # Two VMs check a server that may turn cold each 0.3 s while no store changes arrive.
    Given a small gateway with VMs "n1, n2, n3"
    And server "m1" names a limit of <limit> requests a second
    When every VM has got an answer of server "m1" for "/chat/x"
    And the store becomes unavailable and every VM has noticed
    And callers ask every VM for "/chat/x" during 6 s
    Then server "m1" got at most <most> requests in any 4 s, health checks included

    Examples:
      | limit | most |
      | 1     | 11   |
      | 4     | 29   |

  Scenario: a server that names no limit any more is used at the full rate by every VM
    Given a small gateway with VMs "n1, n2, n3"
    And server "b1" names a limit of 1 requests a second
    When every VM has got an answer of server "b1" for "/look/x"
    Then within 3 s every VM knows that server "b1" limits its rate to 1 requests a second
    When server "b1" names no limit any more
    And callers ask every VM for "/look/x" during 3 s
    Then within 3 s every VM knows that server "b1" names no limit
    When callers ask every VM for "/look/x" during 1 s
    Then server "b1" got at least 40 requests

  Scenario: a server that takes nothing for now is asked seldom, so that the end is heard
    Given a small gateway with VMs "n1, n2, n3"
    And server "b1" names a limit of 0 requests a second
    When every VM has got an answer of server "b1" for "/look/x"
    And callers ask every VM for "/look/x" during 6 s
    Then server "b1" got at most 5 requests in any 4 s

  Scenario: a server that has restarted is not held to the limit that it named before
    Given a small gateway with VMs "n1, n2"
    And server "b1" names a limit of 1 requests a second
    When every VM has got an answer of server "b1" for "/look/x"
    And server "b1" names no limit any more
    And server "b1" restarts and is cold for 0 ms
    Then within 3 s every VM knows that server "b1" names no limit

  Scenario: what a server named before it restarted does not count when another VM reports it late
    # Otherwise a VM that doesn't send to the server would never hear that the new start names none.
    Given a small gateway with VMs "n1, n2"
    When server "b1" restarts and is cold for 0 ms
    And "n2" reports that server "b1" limits its rate to 1 requests a second, for its earlier start
    Then within 1 s every VM knows that server "b1" names no limit

  Scenario: a VM that still holds to an ended limit hears of its end from VMs that never heard the limit
    # The VM isn't among the server's senders, and those that heard the end were restarted since.
    Given a small gateway with VMs "n1, n2"
    When a caller of "small" asks "n1" for "/look/x"
    And "n2" reports that server "b1" limits its rate to 1 requests a second, heard 20000 ms ago
    Then within 1 s every VM knows that server "b1" names no limit

  Scenario: a VM that starts while nothing is sent to a limited server learns the limit
    Given a small gateway with VMs "n1, n2"
    And server "b1" names a limit of 1 requests a second
    When every VM has got an answer of server "b1" for "/look/x"
    And 3.2 s pass
    Given VM "n3" has started in the data centre of "n1"
    Then within 3 s every VM knows that server "b1" limits its rate to 1 requests a second

  Scenario: VMs that hear nothing new of a limit don't report it again and again
    Given a small gateway with VMs "n1, n2, n3"
    And server "b1" names a limit of 1 requests a second
    When every VM has got an answer of server "b1" for "/look/x"
    And 3.2 s pass
    Then no VM reports a limit of server "b1"
    And within 1 s every VM knows that server "b1" limits its rate to 1 requests a second

  Scenario: another server at a reused address names no limit for the one that is gone
    Given a small gateway
    And server "b1" names a limit of 1 requests a second
    And server "b1" has fault "misread" 1 times
    When a caller of "small" asks "n1" for "/look/x" by POST
    Then within 3 s every VM knows that server "b1" names no limit

  Scenario: a server whose entry expires and returns is still limited
    # Entries expire while the store is out and return for the same start of the server.
    Given a small gateway
    And server "b1" names a limit of 1 requests a second
    When every VM has got an answer of server "b1" for "/look/x"
    And the entry of server "b1" expires and returns
    Then within 1 s every VM knows that server "b1" limits its rate to 1 requests a second
