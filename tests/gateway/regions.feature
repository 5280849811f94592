Feature: regions, evacuations, cold and leaving servers

  Scenario: a request whose home is another region is handed over once
    # Its data may be processed in the south only; the caller reached a VM in the north.
    Given a small gateway with a southern region
    When a caller of "small" asks "n1" for "/local/x"
    Then the caller gets 200 with body "done by b9" and its signature

  Scenario: a home region whose only VM shuts down still gets what surely ends there
    # VMs are replaced in turn, and for seconds all of the south's shut down. Requests that may run
    # nowhere else reach a VM in the north, which refused them although the one in the south
    # goes on taking what ends before it does.
    Given a small gateway with a southern region, whose VMs may take 4 s to stop
    When VM "s1" begins to leave
    And a caller of "small" asks "n1" for "/local/x" waiting 500 ms
    Then the caller gets 200 with body "done by b9" and its signature

  Scenario: an account whose home and the route's exclude each other is served nowhere
    Given a small gateway with a southern region
    When a caller of "northern" asks "n1" for "/local/x"
    Then the caller gets 503 with a time to come back
    And no server ran anything

  Scenario: an evacuated data centre gets nothing and the other region serves
    Given a small gateway with a southern region
    When the operator evacuates "north-1"
    And 5 callers of "small" ask "n1" for "/look/x"
    Then each caller gets 200
    And server "b1" ran 0 requests
    When the operator takes "north-1" back
    And a caller of "small" asks "n1" for "/look/x"
    Then the caller gets 200 with body "done by b1" and its signature

  Scenario: a leaving server gets no new work
    Given a small gateway with servers "b1:books, b2:books, m1:model"
    When server "b1" says that it is leaving
    And 6 callers of "small" ask "n1" for "/look/x"
    Then each caller gets 200
    And server "b1" ran 0 requests

  Scenario: a cold server gets no more than its owners' parts
    # It has just started and crashes at a rate well above what it bears. Two callers' worth of
    # patience is refused or served elsewhere rather than sent there.
    Given a small gateway with servers "m1:model, b1:books"
    When server "m1" starts anew and is cold for 1500 ms
    And 6 callers of "small" ask "n1" for "/chat/x" by POST
    Then server "m1" ran at most 2 requests

  Scenario: a server that turns cold while nobody tells changes is found by asking it
    # The store is out for all VMs, or this data centre is cut off from it. A server that it goes
    # on sending to turns cold; its entry in the store would have told. Sent to at the full rate,
    # it crashes. One VM asks it for its health and tells the other, which did not.
    Given a small gateway with servers "m1:model, b1:books"
    When the store goes out and is known to be out
    And server "m1" turns cold for 4000 ms
    Then within 2 s every VM knows that server "m1" is cold
    When 6 callers of "small" ask "n1" for "/chat/x" by POST
    Then server "m1" ran at most 2 requests

  Scenario: servers are not asked while the store tells changes
    Given a small gateway with servers "m1:model, b1:books"
    When 1.5 s pass
    Then no VM has asked a server for its health

  Scenario: an entry that another writer left names no server and harms no other
    Given a small gateway
    When the store gets foreign entries for servers
    And a caller of "small" asks "n1" for "/look/x"
    Then the caller gets 200

  Scenario: a server that lacks a shared part is told from where to copy it
    # The same long part is read at a server of each region. The second one copies it from the
    # first, which takes some ms where reading takes a hundred; a caller can't set that itself.
    Given a small gateway with a southern region
    When a caller of "small" asks "n1" for a prompt of parts "5c1e:3000,a1:20"
    Then server "m1" was told to copy from nobody
    When the VMs have told each other
    And a caller of "small" asks "s1" for a prompt of parts "5c1e:3000,a2:20"
    Then server "m9" was told to copy from "m1"

  Scenario: a prompt that can't be read before its deadline is refused at once
    # A caller comes back with 400 ms left and a prompt whose reading alone takes a second. Sent on,
    # its server would read for nothing, and the caller would hear of it at the deadline.
    Given a small gateway with a southern region
    When a caller of "large" that waits 400 ms asks "n1" for a prompt of 40000 tokens
    Then the caller gets 503 with a time to come back
    And it got it within 150 ms
    And no server got the prompt

  Scenario: a region that refused a request is not asked again for it
    # The caller's own region has no server that may be used. Two VMs of the other region share
    # its only server, which is full: the second would ask the same one once more.
    Given a small gateway with a southern region
    And VM "s2" has started beside "s1"
    And server "b9" has fault "full" 9 times
    When the operator evacuates "north-1"
    And a caller of "small" asks "n1" for "/look/x"
    Then the caller gets 503 with a time to come back
    And server "b9" was asked 1 time

  Scenario: callers that nothing can serve are told a later time the longer it lasts
    # The only data centre with servers is evacuated for a while. Told the same short time, all
    # callers would be back within the outage and have no further try.
    Given a small gateway
    When 2.3 s pass
    And the operator evacuates "north-1"
    And a caller of "small" asks "n1" for "/look/x" waiting 9000 ms
    Then the caller gets 503 and comes back after 0.3 to 0.4 s
    When 1.2 s pass
    And a caller of "small" asks "n1" for "/look/x" waiting 9000 ms
    Then the caller gets 503 and comes back after 0.9 to 3.0 s

  Scenario: a full region tells when it will have room
    Given a small gateway with a southern region
    And server "b9" has fault "full" 9 times
    When the operator evacuates "north-1"
    And a caller of "small" asks "n1" for "/look/x"
    Then the caller gets 503 with a time to come back
    And "n1" counts the refusal as "overloaded"
