Feature: a plain service's stream that breaks off is no whole answer for its caller

  Background:
    Given a front rig

  # Guards against a part of an event that is joined with the error event, and against a length that makes the
  # broken stream complete.
  Scenario Outline: a stream that ends inside an event ends for its caller without a last chunk
    Given the plain service behind the front sends the stream "<events>" framed by "<framing>"
    When a caller of the front reads "/wheels" to the end of its connection
    Then the front's answer is "<events>" without its last chunk

    Examples:
      | framing | events                  |
      | close   | data: a\n\ndata: b      |
      | close   | data: a\n\ndata: b\n    |
      | chunked | data: a\n\ndata: b\n    |
      | length  | data: a\n\ndata: b\n    |

  Scenario Outline: a whole stream ends for its caller with a last chunk
    Given the plain service behind the front sends the stream "<events>" framed by "<framing>"
    When a caller of the front reads "/wheels" to the end of its connection
    Then the front's answer is "<events>" with its last chunk

    Examples:
      | framing | events                  |
      | close   | data: a\n\ndata: b\n\n  |
      | close   | data: a\r\n\r\n         |
      | chunked | data: a\n\n: the end\n  |
      | length  | data: a\n\ndata: b\n\n  |

  Scenario: a stream that breaks off between events ends with an error event
    Given the plain service behind the front sends the stream "data: a\n\n" and resets the connection
    When a caller of the front reads "/wheels" to the end of its connection
    Then the front's answer is "data: a\n\n" and an error event, without its last chunk
