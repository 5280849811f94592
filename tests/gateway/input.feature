Feature: input that makes no sense harms nobody else

  Scenario Outline: a caller's bytes that are no request get a clear answer or a closed connection
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

  Scenario: a caller that would like another protocol gets its answer in this one
    # The parser stops after such a request; refused then, the request would run and its answer
    # be thrown away.
    Given a small gateway
    When "n1" is asked for "/look/x" by a caller of "small" that would like "h2c"
    Then the caller gets 200 with body "done by b1" and its signature

  Scenario Outline: words between VMs that cannot be read are passed over
    Given a small gateway with VMs "n1, n2"
    When the peers' port of "n1" gets <what>
    And a caller of "small" asks "n1" for "/look/x"
    Then the caller gets 200
    And "n1" still hears 2 VMs

    Examples:
      | what                                  |
      | a datagram of random bytes            |
      | a datagram of another type            |
      | a handed-over request without a limit |
      | a handed-over request with limit "x"  |
