Feature: Calls between entry VMs

  Scenario: A typed request reaches the peer and its reply comes back
    Given two peer nodes
    When peer node A asks B to echo "salaam"
    Then the peer reply is "vm-a said salaam"

  Scenario Outline: A peer's refusal keeps its kind, what ran and when to retry
    # A lender or executor refuses at the other VM. The caller of this VM must see the same
    # kind and the same word on whether it ran as if it had been refused here.
    Given two peer nodes
    And peer node B answers the topic with error <kind> and ran <ran>
    When peer node A asks B to echo "salaam"
    Then the peer call fails with <kind>, ran <ran>, retry after 70

    Examples:
      | kind            | ran     |
      | rate_limited    | no      |
      | backend_unknown | unknown |
      | fenced          | no      |
      | internal        | unknown |

  Scenario Outline: What a failed request says about the work
    # Nothing listens, the peer is another process by now, or it takes the request and says
    # nothing. Only in the last case may the work have been done.
    Given two peer nodes
    And peer node B <fault>
    When peer node A asks B to echo "salaam"
    Then the peer call fails with <kind>, ran <ran>

    Examples:
      | fault                            | kind             | ran     |
      | has stopped listening            | peer_unreachable | no      |
      | has restarted at the same port   | peer_unreachable | no      |
      | never answers the topic          | peer_unreachable | unknown |
      | does not know the topic          | bad_request      | no      |
      | crashes in the topic's handler   | internal         | unknown |
      | answers with another type        | internal         | unknown |

  Scenario: A forwarded call runs at the peer and its answer comes back whole
    Given two peer nodes
    When peer node A forwards a call to B
    Then the forwarded answer is "one,two,three" with its end
    And peer node B ran 1 forwarded call with hops 1

  Scenario Outline: A forwarded answer that breaks off is an error, never a clean end
    # The executor stops part way: its engine falls silent, its code has a fault, the process
    # dies, or it ends the stream in good form without the end marker. The caller must never
    # take the half answer for the whole one.
    Given two peer nodes
    And peer node B's dispatch will "<plan>"
    When peer node A forwards a call to B
    Then the forwarded answer is "<chunks>" and fails with <kind>, ran <ran>

    Examples:
      | plan                | chunks | kind             | ran     |
      | no end              | one    | stream_broken    | unknown |
      | crash               | one    | internal         | unknown |
      | fail                | one    | backend_silent   | unknown |
      | refuse rate_limited |        | rate_limited     | no      |
      | refuse no_backend   |        | no_backend       | no      |

  Scenario: The executor dies while its answer streams
    # The caller gets an error. The library wakes its task by a cancellation, which must be
    # taken back: an outer timeout would later read it as its own and end a service silently.
    Given two peer nodes
    And peer node B's dispatch will "stall"
    When peer node A forwards a call to B and B dies after the first chunk
    Then the forwarded answer is "one" and fails with stream_broken, ran unknown
    And the task of the forwarded call's caller is not left as cancelled

  Scenario: A caller that goes away cancels the call at the executor
    Given two peer nodes
    And peer node B's dispatch will "stall"
    When peer node A forwards a call to B and closes it after the first chunk
    Then peer node B's dispatch was closed

  Scenario: A reader that stalls holds the executor back
    # The caller reads slowly. Without flow control the answer would pile up in the forwarder.
    Given two peer nodes
    And peer node B's dispatch yields 400 chunks of 10000 bytes
    When peer node A forwards a call to B and reads only the first chunk
    Then peer node B's dispatch has produced fewer than 100 chunks
    And the rest of the forwarded answer comes whole with 400 chunks

  Scenario: More calls than one connection carries
    # HTTP/2 allows a hundred streams on a connection; the library lets further calls wait
    # silently. They take a second connection instead.
    Given two peer nodes
    And peer node B's dispatch will "stall"
    When peer node A forwards 150 calls to B at once
    Then peer node B runs 150 forwarded calls at once

  Scenario Outline: The hop mark is the receiver's
    # A forged or forgotten mark, or a call that was forwarded already.
    Given two peer nodes
    When a peer sends node B a call that says hops <said>
    Then peer node B ran 1 forwarded call with hops 1

    Examples:
      | said |
      | 0    |
      | 1    |
      | -7   |

  Scenario: A call that came from a peer is never forwarded again
    Given two peer nodes
    When peer node A forwards a call with hops 1 to B
    Then the forwarded answer is "" and fails with hop_limit, ran no
    And peer node B ran 0 forwarded calls

  Scenario Outline: The executor checks again on its own view
    # The sender acted on an older or newer view, or a wrong one. The executor refuses what
    # its own view forbids, as not run, and catches up first when it is behind.
    Given two peer nodes
    And peer node B's view <view>
    When peer node A forwards a call at position 5 to B
    Then the forwarded answer is "" and fails with <kind>, ran no
    And peer node B ran 0 forwarded calls

    Examples:
      | view                                 | kind              |
      | stays behind                         | config_behind     |
      | catches up to residency elsewhere    | residency         |
      | catches up to no such account        | key_unknown       |
      | catches up to no such residency rule | residency_unknown |
      | catches up to a withdrawn key        | key_withdrawn     |

  Scenario: An executor that is behind catches up and runs the call
    Given two peer nodes
    And peer node B's view catches up to the same
    When peer node A forwards a call at position 5 to B
    Then the forwarded answer is "one,two,three" with its end

  Scenario: A VM that shuts down finishes the forwarded calls that run
    # The caller's answer streams from a VM that is asked to stop. It gets the whole answer;
    # a call that arrives meanwhile is refused as not run, so that it goes elsewhere.
    Given two peer nodes
    And peer node B's dispatch waits before its second chunk
    When peer node A forwards a call to B, B is drained, and A forwards another call
    Then the second forwarded call is refused as draining, ran no
    And the first forwarded answer is "one,two,three" with its end
