Feature: Calls between entry VMs

  Scenario: A typed request reaches the peer and its reply is returned
    Given two peer nodes
    When peer node A asks B to echo "salaam"
    Then the peer reply is "vm-a said salaam"

  Scenario Outline: A peer's refusal keeps its kind, whether the request ran, and retry-after
    # The other VM refuses, for example as a lender of rate or as the VM that runs a call. The
    # caller must get the same kind and the same value of ``ran`` as for a refusal by its own VM.
    Given two peer nodes
    And peer node B replies to the topic with error <kind> and ran <ran>
    When peer node A asks B to echo "salaam"
    Then the peer call fails with <kind>, ran <ran>, retry after 70

    Examples:
      | kind            | ran     |
      | rate_limited    | no      |
      | backend_unknown | unknown |
      | fenced          | no      |
      | internal        | unknown |

  Scenario Outline: What a failed request says about whether it ran
    # Nothing listens, another process has replaced the peer, or it accepts the request and does not
    # reply. Only in the last case may the request have run.
    Given two peer nodes
    And peer node B <fault>
    When peer node A asks B to echo "salaam"
    Then the peer call fails with <kind>, ran <ran>

    Examples:
      | fault                            | kind             | ran     |
      | has stopped listening            | peer_unreachable | no      |
      | has restarted at the same port   | peer_unreachable | no      |
      | never replies to the topic       | peer_unreachable | unknown |
      | does not know the topic          | bad_request      | no      |
      | crashes in the topic's handler   | internal         | unknown |
      | replies with another type        | internal         | unknown |

  Scenario: A forwarded call runs at the peer and its whole response is returned
    Given two peer nodes
    When peer node A forwards a call to B
    Then the forwarded response is "one,two,three" and complete
    And peer node B ran 1 forwarded call with hops 1

  Scenario Outline: A forwarded response that breaks off is an error, never a clean end
    # The VM that runs the call stops part way: its engine falls silent, its code fails, the process
    # dies, or it ends the stream cleanly without the end part. The caller must never take a partial
    # response for a whole one.
    Given two peer nodes
    And peer node B's dispatch will "<plan>"
    When peer node A forwards a call to B
    Then the forwarded response is "<chunks>" and fails with <kind>, ran <ran>

    Examples:
      | plan                | chunks | kind             | ran     |
      | no end              | one    | stream_broken    | unknown |
      | crash               | one    | internal         | unknown |
      | fail                | one    | backend_silent   | unknown |
      | refuse rate_limited |        | rate_limited     | no      |
      | refuse no_backend   |        | no_backend       | no      |

  Scenario: The VM that runs a forwarded call dies while the response streams
    # The caller gets an error. grpclib wakes its task by a cancellation, which must be undone: an
    # outer timeout would take it for its own later and end a service silently.
    Given two peer nodes
    And peer node B's dispatch will "stall"
    When peer node A forwards a call to B and B dies after the first chunk
    Then the forwarded response is "one" and fails with stream_broken, ran unknown
    And the task of the forwarded call's caller is not left marked as cancelled

  Scenario: A caller that closes the response cancels the forwarded call
    Given two peer nodes
    And peer node B's dispatch will "stall"
    When peer node A forwards a call to B and closes it after the first chunk
    Then peer node B's dispatch was closed

  Scenario: A reader that stalls slows the VM that runs the call
    # The caller reads slowly. Without flow control the forwarding VM would buffer the whole
    # response.
    Given two peer nodes
    And peer node B's dispatch yields 400 chunks of 10000 bytes
    When peer node A forwards a call to B and reads only the first chunk
    Then peer node B's dispatch has produced fewer than 100 chunks
    And the rest of the forwarded response is complete with 400 chunks

  Scenario: More calls than one connection carries
    # HTTP/2 allows a hundred streams on a connection, and grpclib queues further calls silently.
    # They must take a second connection instead.
    Given two peer nodes
    And peer node B's dispatch will "stall"
    When peer node A forwards 150 calls to B at once
    Then peer node B runs 150 forwarded calls at once

  Scenario Outline: The receiver sets the hop mark itself
    # A missing or forged hop mark, or a call that was forwarded already.
    Given two peer nodes
    When a peer sends node B a call marked with hops <sent>
    Then peer node B ran 1 forwarded call with hops 1

    Examples:
      | sent |
      | 0    |
      | 1    |
      | -7   |

  Scenario: A call that came from a peer is never forwarded again
    Given two peer nodes
    When peer node A forwards a call with hops 1 to B
    Then the forwarded response is "" and fails with hop_limit, ran no
    And peer node B ran 0 forwarded calls

  Scenario Outline: The receiver checks a forwarded call against its own configuration
    # The sender decided by an older, newer or wrong configuration. The receiver must refuse, as not
    # run, what its own configuration forbids, and catch up first if it is behind.
    Given two peer nodes
    And peer node B's configuration <change>
    When peer node A forwards a call at position 5 to B
    Then the forwarded response is "" and fails with <kind>, ran no
    And peer node B ran 0 forwarded calls

    Examples:
      | change                               | kind              |
      | stays behind                         | config_behind     |
      | catches up to residency elsewhere    | residency         |
      | catches up to no such account        | key_unknown       |
      | catches up to no such residency rule | residency_unknown |
      | catches up to a withdrawn key        | key_withdrawn     |

  Scenario: A receiver whose configuration is behind catches up and runs the call
    Given two peer nodes
    And peer node B's configuration catches up to an unchanged one
    When peer node A forwards a call at position 5 to B
    Then the forwarded response is "one,two,three" and complete

  Scenario: A VM that shuts down finishes its running forwarded calls
    # A response streams from a VM that is asked to stop. The caller must get the whole response; a
    # call that arrives meanwhile must be refused as not run, so that it can run elsewhere.
    Given two peer nodes
    And peer node B's dispatch waits before its second chunk
    When peer node A forwards a call to B, B is drained, and A forwards another call
    Then the second forwarded call is refused as draining, ran no
    And the first forwarded response is "one,two,three" and complete
