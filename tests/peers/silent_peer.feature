Feature: Connections between entry VMs that go silent for good

  Scenario: A request on a connection that went silent
    # Something between the VMs has lost track of their connection: bytes vanish, and a new
    # connection works. The request times out, and what it did is not known; the next one
    # must take a new connection and not wait on the old.
    Given two peer nodes with a relay before B
    When peer node A asks B to echo "one" through the relay
    And the relay forgets its open connections
    And peer node A asks B to echo "two" through the relay
    Then the peer call fails with peer_unreachable, ran unknown
    When peer node A asks B to echo "three" through the relay
    Then the peer reply is "vm-a said three"

  Scenario: A request on a long-lived stream that went silent
    # Steady topics share one stream for each peer. When it goes silent the request on it is
    # unknown, and the next one takes a new connection.
    Given two peer nodes with a relay before B
    When peer node A steadily asks B to echo "one" through the relay
    And the relay forgets its open connections
    And peer node A steadily asks B to echo "two" through the relay
    Then the peer call fails with peer_unreachable, ran unknown
    When peer node A steadily asks B to echo "three" through the relay
    Then the peer reply is "vm-a said three"

  Scenario: Requests on a long-lived stream do not wait for each other
    # One handler takes long. The replies of the others overtake it, each to its own asker.
    Given two peer nodes with a relay before B
    When peer node A steadily asks B to echo 20 words at once, the first slowly
    Then every steady asker got its own word and the first came last

  Scenario: An asker goes away while its steady request is being answered
    # The reply finds its stream closed. That is daily business: it must not end the replies
    # to others on the stream, nor be logged as an error for every VM that leaves.
    Given a peer server whose handlers answer at once
    When a steady reply finds its stream closed
    Then the reply is dropped without an error

  Scenario: A forwarded answer goes silent half way
    # The caller has part of its answer. Pings go unanswered, so the caller gets an error
    # within about the silent time instead of waiting for ever, and the executor, which sees
    # the same from its side, cancels the call.
    Given two peer nodes with a relay before B
    And peer node B's dispatch will "stall"
    When peer node A forwards a call to B and the relay goes silent after the first chunk
    Then the forwarded answer is "one" and fails with stream_broken, ran unknown
    And that took at most 1500 ms with a silent time of 400 ms
    And peer node B's dispatch was closed

  Scenario: A call is forwarded into a silent connection
    Given two peer nodes with a relay before B
    When peer node A asks B to echo "one" through the relay
    And the relay forgets its open connections
    And peer node A forwards a call to B through the relay
    Then the forwarded answer is "" and fails with peer_unreachable, ran unknown
    And that took at most 1500 ms with a silent time of 400 ms
    When peer node A forwards a call to B through the relay
    Then the forwarded answer is "one,two,three" with its end

  Scenario: A peer takes the connection and reads nothing
    # The unsent bytes stay in this process, and closing the connection waits for them.
    Given two peer nodes with a relay before B
    And a machine that accepts connections and reads nothing stands in for B
    When peer node A forwards a call of 60000 bytes to it
    Then the forwarded answer is "" and fails with peer_unreachable, ran unknown
    And that took at most 2500 ms with a silent time of 400 ms

  Scenario: A VM whose peer port answers nothing to a connection attempt
    # The call cannot have left, so it may be tried elsewhere.
    Given two peer nodes with a relay before B
    And a machine whose queue of new connections is full stands in for B
    When peer node A forwards a call of 10 bytes to it
    Then the forwarded answer is "" and fails with peer_unreachable, ran no
    And that took at most 1500 ms with a silent time of 400 ms

  Scenario: Two VMs with opposite views of where a call runs
    # Each holds that the other should run the call. The call goes one hop and is refused as
    # not run, instead of going to and fro for ever.
    Given two peer nodes that each forward every call to the other
    When peer node A's dispatch runs a call
    Then the forwarded answer is "" and fails with hop_limit, ran no
    And each dispatch saw the call once
