Feature: an answer that was broken off never looks complete, and a whole one always does

  # Guards against a stream that breaks off and is framed as complete for its caller.
  Scenario Outline: a stream that ends properly inside an event reaches its caller as broken
    Given a small gateway with a raw server of "model" in "north-1"
    And the raw server answers with "<body>" framed by <framing> and then <end>
    When a caller of "small" streams "/<route>/x" from "n1"
    Then the caller gets 200
    And the stream breaks off without a proper end

    Examples:
      | route | framing | body                        | end    |
      | chat  | close   | a field without its line    | closes |
      | chat  | close   | a line without its event    | closes |
      | chat  | close   | CR LF, a part of an event   | closes |
      | chat  | close   | CR, a part of an event      | closes |
      | chat  | close   | a comment, a part           | closes |
      | plan  | close   | a field without its line    | closes |
      | plan  | close   | a line without its event    | closes |
      | plan  | close   | CR LF, a part of an event   | closes |
      | chat  | chunked | a field without its line    | waits  |
      | plan  | chunked | a line without its event    | waits  |
      | chat  | length  | a line without its event    | waits  |
      | plan  | length  | a field without its line    | waits  |

  # Guards against the same at the VM that passes a stream on to another region's VM.
  Scenario Outline: a forwarded stream that ends properly inside an event reaches its caller as broken
    Given a small gateway with a raw server of "model" in "south-1"
    And the raw server answers with "a line without its event" framed by <framing> and then <end>
    When a caller of "small" streams "/<route>/x" from "n1"
    Then the caller gets 200
    And the stream breaks off without a proper end

    Examples:
      | route | framing | end    |
      | chat  | close   | closes |
      | plan  | close   | closes |
      | chat  | chunked | waits  |
      | plan  | length  | waits  |

  # Guards against a caller that gets a part of an event, or one twice, when its stream goes on elsewhere.
  Scenario Outline: a resumable stream that ends properly inside an event goes on at another server
    Given a small gateway with servers "m1:model, m2:model, b1:books"
    And the next stream of any server of "model" ends inside an event, framed by <framing>
    When a caller of "small" streams "/plan/x" from "n1"
    Then the stream is complete with events 1 to 6
    And servers of "model" executed 2 requests

    Examples:
      | framing |
      | close   |
      | chunked |

  Scenario Outline: a stream whose connection ends it too early reaches its caller as broken
    Given a small gateway with a raw server of "model" in "north-1"
    And the raw server answers with "whole events" framed by <framing> and then <end>
    When a caller of "small" streams "/<route>/x" from "n1"
    Then the caller gets 200
    And the stream breaks off without a proper end

    Examples:
      | route | framing          | end    |
      | chat  | close            | resets |
      | plan  | close            | resets |
      | chat  | longer length    | closes |
      | chat  | chunks, no last  | closes |
      | plan  | chunks, no last  | resets |

  # Guards against a check of streams that takes whole ones for broken.
  Scenario Outline: a whole stream reaches its caller byte for byte and complete
    Given a small gateway with a raw server of "model" in "<centre>"
    And the raw server answers with "<body>" framed by <framing> and then <end>
    When a caller of "small" streams "/<route>/x" from "n1"
    Then the caller gets the raw server's bytes as a whole answer

    Examples:
      | centre  | route | framing  | body                     | end    |
      | north-1 | chat  | close    | whole events             | closes |
      | north-1 | plan  | close    | whole events             | closes |
      | south-1 | plan  | close    | whole events             | closes |
      | south-1 | chat  | close    | whole events             | closes |
      | north-1 | chat  | close    | nothing                  | closes |
      | north-1 | plan  | close    | nothing                  | closes |
      | north-1 | chat  | chunked  | nothing                  | waits  |
      | north-1 | plan  | length   | nothing                  | waits  |
      | north-1 | chat  | close    | CR LF events             | closes |
      | north-1 | plan  | close    | CR LF events             | closes |
      | north-1 | plan  | chunked  | CR events                | waits  |
      | north-1 | chat  | close    | CR events                | closes |
      | north-1 | plan  | close    | mixed line ends          | closes |
      | north-1 | chat  | close    | a last comment           | closes |
      | north-1 | plan  | close    | a last comment           | closes |
      | north-1 | plan  | close    | an unfinished comment    | closes |
      | north-1 | chat  | chunked  | only a comment           | waits  |
      | north-1 | plan  | close    | blank lines at the end   | closes |
      | north-1 | chat  | length   | whole events             | waits  |
      | north-1 | chat  | close    | compressed events        | closes |
      | north-1 | plan  | chunked  | compressed events        | waits  |
      | north-1 | chat  | chunked, in two headers | whole events | waits |
      | north-1 | plan  | chunked  | whole events             | waits  |

  Scenario Outline: an answer that is no stream is whole or broken by its framing
    Given a small gateway with a raw server of "books" in "<centre>"
    And the raw server answers with "<body>" framed by <framing> and then <end>
    When a caller of "small" asks "n1" for "/look/x"
    Then the caller gets <outcome>

    Examples:
      | centre  | framing         | body         | end    | outcome                                  |
      | north-1 | close           | plain text   | closes | the raw server's bytes as a whole answer |
      | south-1 | close           | plain text   | closes | the raw server's bytes as a whole answer |
      | north-1 | close           | nothing      | closes | the raw server's bytes as a whole answer |
      | north-1 | length          | plain text   | waits  | the raw server's bytes as a whole answer |
      | north-1 | chunked         | plain text   | closes | the raw server's bytes as a whole answer |
      | north-1 | close           | plain text   | resets | 502                                      |
      | south-1 | close           | plain text   | resets | 502                                      |
      | north-1 | longer length   | plain text   | closes | 502                                      |
      | north-1 | chunks, no last | plain text   | closes | 502                                      |
      | north-1 | a cut coding    | plain text   | closes | 502                                      |
      | south-1 | a cut coding    | nothing      | closes | 502                                      |

  # Guards against a whole answer that is taken for broken, since its header names a coding that marks no end.
  Scenario Outline: an answer whose transfer coding marks no end ends with its connection
    Given a small gateway with a raw server of "<service>" in "north-1"
    And the raw server answers with "whole events" framed by identity and then closes
    When a caller of "small" streams "/<route>/x" from "n1"
    Then the caller gets the raw server's bytes as a whole answer

    Examples:
      | service | route |
      | model   | chat  |
      | books   | look  |

  Scenario: what a VM counts and logs tells how an answer was framed and how it ended
    Given a small gateway with a raw server of "model" in "north-1"
    And the raw server answers with "a line without its event" framed by close and then closes
    When a caller of "small" streams "/chat/x" from "n1"
    Then "n1" has counted a response framed by "close" that ended "inside_event"

  Scenario: a HEAD request is answered without waiting for a body
    Given a small gateway
    When a caller of "small" asks "n1" for "/look/x" by HEAD
    Then the caller gets a whole answer without a body
    And the response came within 1000 ms
    And the answer's length is that of the body "done by b1"

  # Guards against a caller that takes the end of the connection for the end of the answer, as HTTP/1.0 has it.
  Scenario Outline: a caller with HTTP/1.0 gets a stream without chunks, and a reset where it broke off
    Given a small gateway with a raw server of "model" in "north-1"
    And the raw server answers with "<body>" framed by close and then closes
    When a caller with HTTP/1.0 streams "/<route>/x" from "n1"
    Then the caller with HTTP/1.0 got no chunks, and its connection <end>

    Examples:
      | route | body                     | end            |
      | chat  | whole events             | ended in order |
      | plan  | whole events             | ended in order |
      | chat  | a line without its event | was reset      |
      | plan  | a line without its event | was reset      |
