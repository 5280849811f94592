Feature: Connections between entry VMs that go silent for good

  Scenario: A request on a connection that went silent
    # A device between the VMs has lost the state of their connection: its bytes vanish, while a new
    # connection works. The request times out, and whether it ran is unknown. The next one must take
    # a new connection and not wait on the old one.
    Given two peer nodes with a relay before B
    When peer node A asks B to echo "one" through the relay
    And the relay drops the bytes of its open connections
    And peer node A asks B to echo "two" through the relay
    Then the peer call fails with peer_unreachable, ran unknown
    When peer node A asks B to echo "three" through the relay
    Then the peer reply is "vm-a said three"

  Scenario: A request on a shared stream that went silent
    # Topics with ``shared_stream`` use one stream for each peer. When it goes silent, whether the
    # open request ran is unknown, and the next one must take a new connection.
    Given two peer nodes with a relay before B
    When peer node A asks B on the shared stream to echo "one" through the relay
    And the relay drops the bytes of its open connections
    And peer node A asks B on the shared stream to echo "two" through the relay
    Then the peer call fails with peer_unreachable, ran unknown
    When peer node A asks B on the shared stream to echo "three" through the relay
    Then the peer reply is "vm-a said three"

  Scenario: Requests on a shared stream do not wait for each other
    # One handler takes long. The other replies must overtake its reply, each to its own request.
    Given two peer nodes with a relay before B
    When peer node A asks B on the shared stream to echo 20 texts at once, the first slowly
    Then every request got its own reply and the first request's came last

  Scenario: The requester closes the shared stream before its reply is sent
    # A reply is sent on a closed stream, which is routine. It must neither end the other replies on
    # the stream nor be logged as an error for every VM that leaves.
    Given a peer server whose handlers reply at once
    When a reply is sent on a shared stream that is closed
    Then the reply is dropped without an error

  Scenario: The connection goes silent in the middle of a forwarded response
    # The caller has part of its response. Pings stay unanswered, so the caller must get an error
    # after about ``silent_after_ms`` instead of waiting for ever. The VM that runs the call sees
    # the same and must cancel it.
    Given two peer nodes with a relay before B
    And peer node B's dispatch will "stall"
    When peer node A forwards a call to B and the relay goes silent after the first chunk
    Then the forwarded response is "one" and fails with stream_broken, ran unknown
    And that took at most 1500 ms with silent_after_ms of 400
    And peer node B's dispatch was closed

  Scenario: A call is forwarded over a silent connection
    Given two peer nodes with a relay before B
    When peer node A asks B to echo "one" through the relay
    And the relay drops the bytes of its open connections
    And peer node A forwards a call to B through the relay
    Then the forwarded response is "" and fails with peer_unreachable, ran unknown
    And that took at most 1500 ms with silent_after_ms of 400
    When peer node A forwards a call to B through the relay
    Then the forwarded response is "one,two,three" and complete

  Scenario: A peer accepts the connection and reads nothing
    # Unsent bytes stay in this process, and closing the connection would wait for them to be sent.
    Given two peer nodes with a relay before B
    And a machine that accepts connections and reads nothing takes the place of B
    When peer node A forwards a call of 60000 bytes to it
    Then the forwarded response is "" and fails with peer_unreachable, ran unknown
    And that took at most 2500 ms with silent_after_ms of 400

  Scenario: A VM whose peer port does not answer a connection attempt
    # The call cannot have been sent, so it must be reported as not run and may be tried elsewhere.
    Given two peer nodes with a relay before B
    And a machine whose queue of new connections is full takes the place of B
    When peer node A forwards a call of 10 bytes to it
    Then the forwarded response is "" and fails with peer_unreachable, ran no
    And that took at most 1500 ms with silent_after_ms of 400

  Scenario: Two VMs that each decide that the other should run a call
    # Each VM decides that the other should run the call. The call must be refused as not run after
    # one hop instead of being forwarded back and forth for ever.
    Given two peer nodes that each forward every call to the other
    When peer node A's dispatch runs a call
    Then the forwarded response is "" and fails with hop_limit, ran no
    And each dispatch saw the call once
