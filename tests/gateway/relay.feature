Feature: a request goes to one backend server and its response to the caller

  Scenario: the caller gets the server's status, body and signature unchanged
    Given a small gateway
    When a caller of "small" asks "n1" for "/look/x"
    Then the caller gets 200 with body "done by b1" and its signature

  Scenario: headers that only the gateway may set are not accepted from callers
    # A caller sends an account, an expected server and an urgency. If they were passed on, it
    # could spend another account's share and run where it may not.
    Given a small gateway
    When a caller of "small" asks "n1" for "/look/x" with forged headers
    Then the caller gets 200 with body "done by b1" and its signature
    And the server got account "small" once and no key

  Scenario Outline: a request that is not allowed is refused before any server receives it
    Given a small gateway
    When a caller of "<key>" asks "n1" for "<path>"
    Then the caller gets <status>
    And no server executed a request

    Examples:
      | key     | path    | status |
      | unknown | /look/x | 401    |
      | small   | /none/x | 404    |
      | small   | /look   | 404    |

  Scenario Outline: a request with ambiguous framing is refused
    # Request smuggling: a second request is placed where one parser sees the body of the first. A
    # server that parses it differently would execute a request that no caller sent.
    Given a small gateway
    When a caller sends "n1" a request framed by "<framing>"
    Then the caller gets 400
    And no server executed a request

    Examples:
      | framing                                             |
      | Content-Length: 4; Transfer-Encoding: chunked       |
      | Content-Length: 4; Content-Length: 30               |

  Scenario: two requests in one packet are answered in order
    Given a small gateway
    When a caller sends "n1" two requests in one packet
    Then both responses arrive in order

  Scenario: a body over the limit is refused and a slow request head times out
    Given a small gateway
    When a caller of "small" asks "n1" for "/order/x" with a body of 70000 bytes
    Then the caller gets 413
    When a caller sends "n1" an incomplete request head and waits
    Then the caller gets 408

  Scenario: a stream is relayed event by event and ends properly
    Given a small gateway
    When a caller of "small" streams "/chat/x" from "n1"
    Then the stream is complete with events 1 to 6

  Scenario: a caller's disconnect cancels the request at the server
    # The caller closes its connection before the first event. Otherwise the server would go on
    # working for nobody, in a slot that others wait for.
    Given a small gateway
    And server "m1" hangs on the next request
    When a caller of "small" opens a stream "/chat/x" at "n1" and disconnects
    Then server "m1" has cancelled that request

  Scenario: a crash of an internal task does not change the ports
    # A fault in the gateway itself ends the service that listens. The kernel starts it again on
    # the same ports, since callers hold directory responses with their numbers.
    Given a small gateway with a southern region
    When a task of "n1" crashes
    And a caller of "small" asks "n1" for "/local/x" after its restart
    Then the caller gets 200 with body "done by b9" and its signature
