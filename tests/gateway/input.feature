Feature: invalid input does not affect other callers

  Scenario Outline: bytes that are no valid request get a clear response or a closed connection
    Given a small gateway
    When a caller sends "n1" the bytes "<data>"
    Then the caller gets <status>
    When a caller of "small" asks "n1" for "/look/x"
    Then the caller gets 200

    Examples: in which ~ ends a line and ^ begins a TLS handshake
      | data                                               | status |
      | ^~                                                 | 400    |
      | GET /look/x HTTP/9.9~~                             | 400    |
      | GET /look/x HTTP/1.1~Bad Header: 1~~               | 400    |
      | POST /look/x HTTP/1.1~Content-Length: -4~~         | 400    |
      | GET /%00%ff/../x HTTP/1.1~Host: shop.example~~     | 404    |
      | GET * HTTP/1.1~Host: shop.example~~                | 404    |
      | GET /look/x HTTP/1.1~Host: ~~                      | 404    |

  Scenario: a request to upgrade the protocol is answered in HTTP/1.1
    # The HTTP parser stops after such a request. If the request were refused at that point, it
    # would still be executed and its response discarded.
    Given a small gateway
    When "n1" gets a request for "/look/x" with an upgrade to "h2c" from a caller of "small"
    Then the caller gets 200 with body "done by b1" and its signature

  # Guards against a body that is lost behind an offer of another protocol: the request ran without it.
  Scenario Outline: the body of a request that offers another protocol is part of it
    Given a small gateway
    When an order with a body of <size> bytes, framed by <framing>, offers h2c to "n1", sent <pieces>
    Then each order is answered once
    And server "b1" has run one order with that body

    Examples:
      | size  | framing  | pieces            |
      | 600   | a length | at once           |
      | 600   | a length | byte by byte      |
      | 600   | chunks   | at once           |
      | 600   | chunks   | byte by byte      |
      | 40000 | a length | at once           |
      | 40000 | chunks   | behind another    |
      | 0     | a length | at once           |

  Scenario Outline: invalid messages between VMs are ignored
    Given a small gateway with VMs "n1, n2"
    When the peers' port of "n1" gets <what>
    And a caller of "small" asks "n1" for "/look/x"
    Then the caller gets 200
    And "n1" still counts 2 live VMs

    Examples:
      | what                                      |
      | a datagram of random bytes                |
      | a datagram of another type                |
      | a forwarded request without a time left   |
      | a forwarded request with a time left "x"  |
