Feature: a plain service's stream that was broken off never looks complete, and a whole one always does

  Background:
    Given a backends rig

  # Guards against a stream that breaks off and is framed as complete for its caller.
  Scenario Outline: a stream that ends properly inside an event is an error
    Given a raw server at the backends rig whose stream is "<events>" framed by "<framing>"
    When the backends rig sends "GET" "/x" to the raw server
    Then the raw response at the backends rig is "stream_broken"

    Examples:
      | framing | events                             |
      | close   | data: a\n\nda                    |
      | close   | data: a\n\ndata: b\n            |
      | close   | data: a\r\n\r\ndata: b\r\n   |
      | chunked | data: a\n\ndata: b\n            |
      | length  | data: a\n\ndata: b\n            |

  Scenario Outline: a whole stream is passed on byte for byte
    Given a raw server at the backends rig whose stream is "<events>" framed by "<framing>"
    When the backends rig sends "GET" "/x" to the raw server
    Then the raw response at the backends rig is those events

    Examples:
      | framing | events                             |
      | close   | data: a\n\ndata: b\n\n         |
      | close   | data: a\r\n\r\n                |
      | close   | data: a\r\r                      |
      | close   | data: a\n\n: the end\n          |
      | close   | : only a comment\n                |
      | chunked | data: a\n\ndata: b\n\n         |
      | length  | data: a\n\n                      |
      | compressed | not text                       |
