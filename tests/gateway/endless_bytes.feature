Feature: bytes without end take neither a VM's memory nor its time

  # Guards against a server whose answer never ends: parsed as a whole before anybody else's turn, it
  # stopped all requests of the VM for seconds, and kept, it filled the VM's memory.
  Scenario Outline: a server's answer without end
    Given a daemon before servers "b1:books, m1:model", and one whose answers have <form> without end
    When 12 callers ask for "/look/x" in turn, while 4 ask for "/chat/x"
    Then all of them for "/look/x" get 200, each within 1 s
    And the endless server's connections are closed within 2 s each
    And the daemon's memory has grown by at most 24 MB

    Examples: in the head
      | form                  |
      | a status line         |
      | a header's name       |
      | a header's value      |
      | headers               |
      | blank lines           |
      | interim responses     |
      | an interim header     |
      | the answer to another |
      | a signed head's value |

    Examples: in the body
      | form                   |
      | a body in chunks       |
      | a body in small chunks |
      | a body until the close |
      | a body of a terabyte   |
      | a chunk's size         |
      | a chunk's extension    |
      | a trailer              |
      | trailers               |
      | a failure's body       |
      | a rejection's body     |

  Scenario Outline: an order whose answer never ends is not sent again, and its caller is told at once
    Given a daemon before servers "m1:model", and one whose answers have <form> without end
    When a caller asks for "/order/x" by POST
    Then it gets <status> within 1 s
    And the endless server's connections are closed within 2 s each

    Examples:
      | form               | status |
      | a header's value   | 502    |
      | interim responses  | 502    |
      | a body in chunks   | 502    |
      | a rejection's body | 503    |

  Scenario Outline: a stream without end
    Given a daemon before servers "b1:books", and one of service "model" whose answers have <form> without end
    When 3 callers ask for "/chat/x", and 12 for "/look/x" in turn
    Then all of them for "/look/x" get 200, each within 1 s
    And the daemon's memory has grown by at most 24 MB

    Examples:
      | form     |
      | an event |
      | events   |

  # Guards against a caller's, or another VM's, bytes without end.
  Scenario Outline: a request without end
    Given a daemon before servers "b1:books"
    When 4 peers send <form> without end to the port for <port>, while 12 callers ask for "/look/x"
    Then all of them for "/look/x" get 200, each within 1 s
    And the peers' connections are closed within 4 s each
    And the daemon's memory has grown by at most 24 MB

    Examples:
      | form                   | port    |
      | blank lines            | callers |
      | a request line         | callers |
      | a header's name        | callers |
      | a header's value       | callers |
      | blanks before a value  | callers |
      | headers                | callers |
      | a body in small chunks | callers |
      | a chunk's size         | callers |
      | a chunk's extension    | callers |
      | a trailer              | callers |
      | requests               | callers |
      | a body of a terabyte   | callers |
      | a header's value       | peers   |
      | a chunk's extension    | peers   |
      | a header's value       | state   |
      | a header's value       | ready   |

  Scenario Outline: a store, or another VM, whose answers never end
    Given a daemon before servers "b1:books"
    When the <other>'s answers have <form> without end for 3 s, while 12 callers ask for "/look/x"
    Then all of them for "/look/x" get 200, each within 1 s
    And the endless server's connections are closed within 2 s each
    And the daemon's memory has grown by at most 40 MB

    Examples:
      | other | form                   |
      | store | a header's value       |
      | store | interim responses      |
      | store | a body in chunks       |
      | store | a body in small chunks |
      | store | a chunk's extension    |

  # Guards against a bound that takes a sound answer for one without end.
  Scenario Outline: large and slow sound answers arrive whole
    Given a daemon before a server that sends <answer>
    When a caller asks for "/look/x"
    Then it gets 200 and <size> bytes

    Examples:
      | answer                             | size     |
      | 100 headers of 400 bytes           | 3        |
      | 300 interim responses              | 3        |
      | 20000000 bytes with a length       | 20000000 |
      | 5000000 bytes in chunks            | 5000000  |
      | 5000000 bytes until the close      | 5000000  |
      | 30000 bytes in chunks of 1 byte    | 30000    |
      | 100000 bytes in signed chunks      | 100000   |
      | 2000 bytes, 400 of them each 50 ms | 2000     |

  # Guards against large answers that are held until their end, many at once.
  Scenario Outline: large answers are passed on as they come
    Given a daemon before a server that sends <answer>
    When a caller asks for "/look/x"
    Then it gets 200 and <size> bytes
    And the daemon's memory has grown by at most 8 MB

    Examples:
      | answer                       | size     |
      | 15000000 bytes with a length | 15000000 |
      | 60000000 bytes with a length | 60000000 |
