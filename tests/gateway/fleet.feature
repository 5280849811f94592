Feature: VMs discover each other, share quotas and shut down without loss

  Scenario: the directory lists the VMs of the caller's region
    Given a small gateway with a southern region and VMs "n1, n2"
    Then the directory of "s1" lists "n1, n2" for region "north"
    And the directory of "n1" lists "s1" for region "south"
    # The west has no VM; the south is the home region of one of the host's routes.
    And the directory of "n1" lists "s1" for region "west"

  Scenario: a directory response expires before a VM that shuts down stops accepting requests
    # Some callers cache a response three times as long as it is valid. A VM that begins to shut
    # down accepts everything for 2.4 s, 0.3 of its grace period; later requests sent to it because
    # of an old response may be refused, and each has one retry left.
    Given a small gateway
    Then a directory response of "n1" is valid for at most 0.8 s

  Scenario: a VM that crashed is soon no longer listed
    Given a small gateway with VMs "n1, n2"
    When VM "n2" crashes
    Then within 4 s the directory of "n1" lists "n1" for region "north"

  Scenario: an account's rate holds over all VMs together
    # The account sends requests through both VMs at once, far above its rate. Each VM by itself
    # would let the whole rate through.
    Given a small gateway with VMs "n1, n2"
    And account "large" may spend 1000 tokens a second with a burst of 500
    When callers of "large" request 100 tokens from both VMs every 10 ms for 2 s
    Then servers executed requests of "large" for at most 3500 tokens
    And refused callers got a retry-after time

  Scenario: a graceful shutdown cuts off no request
    # SIGTERM arrives while the VM relays a stream and callers still have its address. The stream
    # ends properly; new requests are served, or refused as not run; none is cut off.
    Given a small gateway with VMs "n1, n2"
    And server "m1" takes 60 ms for each event
    When VM "n2" is stopped while it relays a stream and callers keep sending requests
    Then the stream was complete with events 1 to 6
    And every other caller got 200, or 503 with a retry-after time, or was disconnected unread

  Scenario: what one data centre's VMs spend is known in the others within a second or two
    # A VM reports to one VM of each other data centre in rotation, which relays the report to its
    # own data centre. The account spends through one VM only; every other VM has to charge it.
    Given a small gateway with VMs "n1, n2" and "o1, o2" in two data centres and a southern region
    And account "large" may spend 1000 tokens a second with a burst of 500
    When a caller of "large" spends 400 tokens at "n1"
    Then within 3 s every VM has charged 400 tokens of "large" to "n1"

  Scenario: a VM knows the report lag of its region, which server choice depends on
    # One of the region's other VMs is in the same data centre and reports every 100 ms; two are in
    # another one and report every 400 ms to a VM here, which relays it. The south doesn't count.
    Given a small gateway with VMs "n1, n2" and "o1, o2" in two data centres and a southern region
    Then within 2 s the report lag of "n1" is 1100 ms in total
    When VM "n2" has crashed and is no longer live for "n1"
    Then within 2 s the report lag of "n1" is 1000 ms in total

  Scenario: all VMs of a region are stopped within one grace period
    # VMs are stopped one after the other, faster than they come back. The directory lists the last
    # one that still accepts requests rather than a VM of a region that may not process them, and
    # it goes on serving.
    Given a small gateway with a southern region, whose VMs have a grace period of 4 s
    When VM "n1" begins to shut down
    Then the directory of "s1" lists "n1" for region "north"
    And a caller of "small" with a deadline of 400 ms gets 200 for "/look/x" once "n1" accepts only what ends in time

  Scenario: a VM that shuts down accepts nothing that it would have to cut off
    # A stream that arrives late in the grace period may run beyond its end and would be cut off
    # when the process ends. It is refused at once as not run, although the region has no other VM
    # left; what surely ends in time is still served.
    Given a small gateway with a southern region, whose VMs have a grace period of 4 s
    And server "m1" takes 200 ms for each event
    When VM "n1" begins to shut down
    Then a caller of "small" with a deadline of 2900 ms gets 503 for "/chat/x" once "n1" accepts only what ends in time
    And the caller gets 503 with a retry-after time
    And no request of service "model" was executed
    And a caller of "small" with a deadline of 400 ms gets 200 for "/look/x" once "n1" accepts only what ends in time
