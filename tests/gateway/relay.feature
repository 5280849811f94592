Feature: a request goes to one backend server and its answer to its caller

  Scenario: the caller gets the server's status, body and signature unchanged
    Given a small gateway
    When a caller of "small" asks "n1" for "/look/x"
    Then the caller gets 200 with body "done by b1" and its signature

  Scenario: what only the gateway may set is taken from no caller
    # A caller sends an account, an expected server and an urgency of its own. If they went on,
    # it could spend another account's share and run where it may not.
    Given a small gateway
    When a caller of "small" asks "n1" for "/look/x" with forged headers
    Then the caller gets 200 with body "done by b1" and its signature
    And the server was told account "small" once and no key

  Scenario Outline: what cannot be allowed is refused before any server sees it
    Given a small gateway
    When a caller of "<key>" asks "n1" for "<path>"
    Then the caller gets <status>
    And no server ran anything

    Examples:
      | key     | path    | status |
      | unknown | /look/x | 401    |
      | small   | /none/x | 404    |
      | small   | /look   | 404    |

  Scenario Outline: a request that two readers could end differently is refused
    # The second request stands in what one reader takes for the body of the first. A server
    # that reads it the other way would run a request that no caller sent.
    Given a small gateway
    When a caller sends "n1" a request framed by "<framing>"
    Then the caller gets 400
    And no server ran anything

    Examples:
      | framing                                             |
      | Content-Length: 4; Transfer-Encoding: chunked       |
      | Content-Length: 4; Content-Length: 30               |

  Scenario: two requests in one packet are answered in order
    Given a small gateway
    When a caller sends "n1" two requests in one packet
    Then both answers come in order

  Scenario: a body over the limit is refused and a slow head times out
    Given a small gateway
    When a caller of "small" asks "n1" for "/order/x" with a body of 70000 bytes
    Then the caller gets 413
    When a caller sends "n1" half a head and waits
    Then the caller gets 408

  Scenario: a stream is relayed event by event and ends properly
    Given a small gateway
    When a caller of "small" streams "/chat/x" from "n1"
    Then the stream is whole with events 1 to 6

  Scenario: a caller that leaves ends the work at the server
    # The caller closes its connection before the first event. The server would go on working
    # for nobody, in a slot that others wait for.
    Given a small gateway
    And server "m1" hangs on the next request
    When a caller of "small" opens a stream "/chat/x" at "n1" and leaves
    Then server "m1" has ended that run

  Scenario: a task that crashes takes no port with it
    # A fault of our own ends the service that listens. The kernel starts it again, on the same
    # ports: callers hold lists that name them.
    Given a small gateway with a southern region
    When a task of "n1" crashes
    And a caller of "small" asks "n1" for "/local/x" once it is back
    Then the caller gets 200 with body "done by b9" and its signature
