Feature: requests are neither lost nor executed twice when servers fail

  Scenario Outline: an idempotent request is retried, any other is not
    # The server executes the request and its response is lost or damaged. The caller of a lookup
    # gets the response of a second execution. The caller of an order learns that the outcome is
    # unknown, with a status that promises nothing, and the order is executed once.
    Given a small gateway with servers "b1:books, b2:books, m1:model"
    And every server of "books" has fault "<fault>" once
    When a caller of "small" asks "n1" for "/order/x" by POST
    Then the caller gets <order>
    And servers of "books" executed 1 requests
    When a caller of "small" asks "n1" for "/look/x"
    Then the caller gets 200

    Examples:
      | fault    | order |
      | lost     | 502   |
      | torn     | 502   |
      | unsigned | 502   |
      | errors   | 500   |

  Scenario Outline: an order that was certainly not executed is retried
    # The server rejects it and says that it did not run it, or another server has its address.
    Given a small gateway with servers "b1:books, b2:books, m1:model"
    And server "b1" has fault "<fault>" 9 times
    When 6 callers of "small" ask "n1" for "/order/x" by POST
    Then each caller gets 200
    And servers of "books" executed 6 requests

    Examples:
      | fault   |
      | full    |
      | misread |

  Scenario: an order that no server executes is refused with a retry-after time
    Given a small gateway
    And server "b1" has fault "full" 9 times
    When a caller of "small" asks "n1" for "/order/x" by POST
    Then the caller gets 503 with a retry-after time
    And no server executed a request

  Scenario: another request's response on the connection is skipped
    # The server sends a response to another request first. If it were relayed, one caller would
    # read what was meant for another.
    Given a small gateway
    And server "b1" has fault "extra" 1 times
    When a caller of "small" asks "n1" for "/look/x"
    Then the caller gets 200 with body "done by b1" and its signature

  Scenario: a response that ends with its connection is complete
    Given a small gateway
    And server "b1" has fault "unframed" 1 times
    When a caller of "small" asks "n1" for "/look/x"
    Then the caller gets 200 with body "unframed" and its signature

  Scenario: a resumable stream continues at another server
    # The server breaks off in the middle of an event. The caller reads every event once, in one
    # response, and doesn't see the partial event.
    Given a small gateway with servers "m1:model, m2:model, b1:books"
    And every server of "model" has fault "cut" once
    When a caller of "small" streams "/plan/x" from "n1"
    Then the stream breaks off or is complete, without a gap
    And servers of "model" executed 2 requests

  Scenario: a stream that is not resumable breaks off visibly
    Given a small gateway
    And server "m1" has fault "cut" 1 times
    When a caller of "small" streams "/chat/x" from "n1"
    Then the stream breaks off without a proper end
    And servers of "model" executed 1 requests

  # Guards against a caller that gets the events of two runs in one answer.
  Scenario: a lookup answered by a stream is not run again once its stream has begun
    Given a small gateway with servers "b1:books, b2:books, m1:model"
    And every server of "books" has fault "cut" once
    When a caller of "small" streams "/look/x" from "n1"
    Then the stream breaks off without a proper end
    And the stream has events 1 to 4
    And servers of "books" executed 1 requests

  Scenario: a hung server holds up a lookup no longer than its latency objective
    Given a small gateway with servers "b1:books, b2:books, m1:model"
    And every server of "books" has fault "hung" once
    When a caller of "small" asks "n1" for "/look/x" with a deadline of 1200 ms
    Then the caller gets 504
    When a caller of "small" asks "n1" for "/look/x"
    Then the caller gets 200 or a retry-after time

  Scenario: a resumable stream leaves a hung server in time
    # The server accepted the prompt and stopped responding. The caller would wait until its
    # deadline; instead it reads the whole stream from another server, each event once.
    Given a small gateway with servers "m1:model, m2:model, b1:books"
    And server "m1" hangs on the next request
    And server "m2" hangs on the next request
    When a caller of "small" streams "/plan/x" from "n1"
    Then the caller gets 504
    When a caller of "small" streams "/plan/x" from "n1"
    Then the stream is complete with events 1 to 6

  Scenario: a request that reached no server needs no retry budget to go to another one
    # Nothing listens at the address of a server whose entry has not expired yet, and other
    # failures have used up the retry budget. No server has received the request, so sending it to
    # another one is no retry. If it were refused, its caller would send again a request that could
    # have been served.
    Given a small gateway with servers "b1:books, b2:books, m1:model"
    And nothing listens at the address of server "b1"
    And "n1" has used up its retry budget
    When 6 callers of "small" ask "n1" for "/order/x" by POST
    Then each caller gets 200
    And servers of "books" executed 6 requests

  Scenario: a request that a server rejected needs retry budget to go to another one
    Given a small gateway with servers "b1:books, b2:books, m1:model"
    And server "b1" has fault "full" 9 times
    And server "b2" has fault "full" 9 times
    And "n1" has used up its retry budget
    When a caller of "small" asks "n1" for "/order/x" by POST
    Then the caller gets 503 with a retry-after time
    And servers of "books" received 1 request

  Scenario Outline: the VM that forwarded a request learns whether a server received it
    # It counts as a retry only if a server received and rejected it.
    Given a small gateway
    And server "b1" has fault "full" <times> times
    When the peers' port of "n1" gets a forwarded request for "<service>"
    Then the response marks it as "<mark>"

    Examples:
      | service | times | mark      |
      | books   | 9     | rejected  |
      | nothing | 0     | not-asked |

  Scenario: a stream stays at its silent server while no other one can take it
    # The server sends nothing for longer than the first-byte timeout, since its prompt is queued
    # behind other prefills, and there is no other server. If the request left it, the caller would
    # be told of a failure and the server's prefill would be lost; so the gateway goes on waiting.
    Given a small gateway
    And server "m1" takes 150 ms for each event
    When a caller of "small" streams "/plan/x" from "n1"
    Then the stream is complete with events 1 to 6
    And servers of "model" executed 1 requests

  Scenario: a stream stays at its silent server while another region may only refuse it
    # The server of this region sends nothing for longer than the first-byte timeout. The other
    # region would be tried, but its server is full: the caller would get a failure, although the
    # first server is still busy with the prefill.
    Given a small gateway with a southern region
    And server "m1" takes 150 ms for each event
    And server "m9" has fault "full" 9 times
    When a caller of "small" streams "/plan/x" from "n1"
    Then the stream is complete with events 1 to 6
    And server "m9" executed 0 requests
