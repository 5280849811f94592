Feature: a backend server that asks a VM for rest gets no requests from it in that time

  # Allowed between half a second after it asked and the end of that time: two requests of that VM.

  Scenario Outline: requests go to another server meanwhile
    Given a small gateway with servers "b1:books, b2:books, m1:model, m2:model"
    And server "<server>" turns all requests away and asks for 3 s of rest
    When server "<server>" has asked "n1" for rest, for requests to "<path>"
    And callers ask "n1" for "<path>" during 2 s
    Then server "<server>" got at most 2 requests since
    And each caller gets 200

    Examples:
      | server | path    |
      | b1     | /look/x |
      | b1     | /order/x |
      | m1     | /chat/x |

  Scenario: without another server callers are refused at once and told to come back after the rest
    Given a small gateway
    And server "b1" turns all requests away and asks for 3 s of rest
    When server "b1" has asked "n1" for rest, for requests to "/look/x"
    And callers ask "n1" for "/look/x" during 2 s
    Then server "b1" got at most 2 requests since
    When a caller of "small" asks "n1" for "/look/x" with a deadline of 9000 ms
    Then the caller gets 503 with a retry-after time
    And it is told to come back within 200 ms of the end of the rest that "b1" asked "n1" for

  Scenario: requests that another region's VM forwards are the VM's own
    Given a small gateway with a southern region
    And server "b9" leaves the store
    And server "b1" turns all requests away and asks for 3 s of rest
    When server "b1" has asked "n1" for rest, for requests to "/look/x"
    And callers ask "s1" for "/look/x" during 2 s
    Then server "b1" got at most 2 requests since

  Scenario: a placement coordinator grants a VM no slot at a server that asked it for rest
    Given a small gateway of VMs "n1, n2, n3, n4, n5, n6" before servers "m1:model, m2:model"
    And one VM coordinates the placement of service "model"
    And server "m1" turns all requests away and asks for 3 s of rest
    When server "m1" has asked the VM that ranks last as coordinator for rest
    And callers ask that VM for "/chat/x" during 2 s
    Then server "m1" got at most 2 requests since
    And each caller gets 200

  Scenario: a server that asked for rest gets no health checks
    # Its health is checked each 0.3 s while no store changes arrive.
    Given a small gateway
    And server "m1" turns all requests away and asks for 4 s of rest
    When the store becomes unavailable and every VM has noticed
    And server "m1" has asked "n1" for rest, for requests to "/chat/x"
    And callers ask "n1" for "/chat/x" during 3 s
    Then server "m1" got at most 2 requests since, health checks included

  Scenario: a server whose entry expires and returns is still held to the rest
    # Entries expire while the store is out and return for the same start of the server.
    Given a small gateway
    And server "b1" asks for 4 s of rest with its next rejection only
    When server "b1" has asked "n1" for rest, for requests to "/look/x"
    And the entry of server "b1" expires and returns
    And callers ask "n1" for "/look/x" during 2 s
    Then server "b1" got at most 2 requests since

  Scenario: another VM that has not been asked goes on, and so does the VM after the rest
    Given a small gateway with VMs "n1, n2"
    And server "b1" asks for 1 s of rest with its next rejection only
    When server "b1" has asked "n1" for rest, for requests to "/look/x"
    And a caller of "small" asks "n2" for "/look/x"
    Then the caller gets 200
    When 1.1 s pass
    And a caller of "small" asks "n1" for "/look/x"
    Then the caller gets 200
