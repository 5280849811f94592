Feature: work is neither lost nor doubled when servers fail

  Scenario Outline: a request that may be repeated is sent again, one that may not is not
    # The server runs the request and its answer is lost or spoilt. The caller of a lookup gets
    # the answer of a second run; the caller of an order learns that the outcome is not known,
    # with a status that promises nothing, and the order ran once.
    Given a small gateway with servers "b1:books, b2:books, m1:model"
    And every server of "books" has fault "<fault>" once
    When a caller of "small" asks "n1" for "/order/x" by POST
    Then the caller gets <order>
    And "books" ran 1 requests
    When a caller of "small" asks "n1" for "/look/x"
    Then the caller gets 200

    Examples:
      | fault    | order |
      | lost     | 502   |
      | torn     | 502   |
      | unsigned | 502   |
      | errors   | 500   |

  Scenario Outline: an order that was surely not run is sent again
    # The server rejects it and says that it did not run it, or another server has its address.
    Given a small gateway with servers "b1:books, b2:books, m1:model"
    And server "b1" has fault "<fault>" 9 times
    When 6 callers of "small" ask "n1" for "/order/x" by POST
    Then each caller gets 200
    And "books" ran 6 requests

    Examples:
      | fault   |
      | full    |
      | misread |

  Scenario: an order that no server runs is refused with when to come back
    Given a small gateway
    And server "b1" has fault "full" 9 times
    When a caller of "small" asks "n1" for "/order/x" by POST
    Then the caller gets 503 with a time to come back
    And no server ran anything

  Scenario: another request's answer on the connection is read over
    # The server sends an answer that belongs to another request first. Passed on, one caller
    # would read what was meant for another.
    Given a small gateway
    And server "b1" has fault "extra" 1 times
    When a caller of "small" asks "n1" for "/look/x"
    Then the caller gets 200 with body "done by b1" and its signature

  Scenario: an answer that ends with its connection is whole
    Given a small gateway
    And server "b1" has fault "unframed" 1 times
    When a caller of "small" asks "n1" for "/look/x"
    Then the caller gets 200 with body "unframed" and its signature

  Scenario: a stream that may be resumed goes on at another server
    # The server breaks off in the middle of an event. The caller reads every event once, in
    # one answer; the half event is not seen.
    Given a small gateway with servers "m1:model, m2:model, b1:books"
    And every server of "model" has fault "cut" once
    When a caller of "small" streams "/plan/x" from "n1"
    Then the stream breaks off or is whole without a gap
    And "model" ran 2 requests

  Scenario: a stream that may not be resumed breaks off visibly
    Given a small gateway
    And server "m1" has fault "cut" 1 times
    When a caller of "small" streams "/chat/x" from "n1"
    Then the stream breaks off without a proper end
    And "model" ran 1 requests

  Scenario: a hung server holds a lookup no longer than its objective
    Given a small gateway with servers "b1:books, b2:books, m1:model"
    And every server of "books" has fault "hung" once
    When a caller of "small" asks "n1" for "/look/x" waiting 1200 ms
    Then the caller gets 504
    When a caller of "small" asks "n1" for "/look/x"
    Then the caller gets 200 or is told when to come back

  Scenario: a stream that may be resumed leaves a hung server in time
    # The server took the prompt and went dark. The caller would wait until its deadline; it
    # reads the whole stream from another server, each event once.
    Given a small gateway with servers "m1:model, m2:model, b1:books"
    And server "m1" hangs on the next request
    And server "m2" hangs on the next request
    When a caller of "small" streams "/plan/x" from "n1"
    Then the caller gets 504
    When a caller of "small" streams "/plan/x" from "n1"
    Then the stream is whole with events 1 to 6

  Scenario: a request that reached no server needs no budget to go to another one
    # Nothing listens any more where one server was, whose entry hasn't lapsed yet, and other
    # failures have used up what may be repeated. No server has got the request, so sending it
    # on is no repeat; refused, its caller would ask again what could have been answered.
    Given a small gateway with servers "b1:books, b2:books, m1:model"
    And nothing listens any more where server "b1" is
    And "n1" has used up its budget for repeats
    When 6 callers of "small" ask "n1" for "/order/x" by POST
    Then each caller gets 200
    And "books" ran 6 requests

  Scenario: a request that a server rejected needs budget to go to another one
    Given a small gateway with servers "b1:books, b2:books, m1:model"
    And server "b1" has fault "full" 9 times
    And server "b2" has fault "full" 9 times
    And "n1" has used up its budget for repeats
    When a caller of "small" asks "n1" for "/order/x" by POST
    Then the caller gets 503 with a time to come back
    And "books" was asked 1 time

  Scenario Outline: the VM that handed a request over learns whether a server was asked
    # It counts as a repeat only where a server got it and rejected it.
    Given a small gateway
    And server "b1" has fault "full" <times> times
    When the peers' port of "n1" gets a handed-over request for "<service>"
    Then it is told "<told>"

    Examples:
      | service | times | told      |
      | books   | 9     | rejected  |
      | nothing | 0     | not-asked |

  Scenario: a stream stays with its silent server while no other one can take it
    # The server is silent for longer than the request's patience, since it reads its prompt
    # behind others. There is no other server. Left, the caller would be told of a failure, and
    # what the server had read would be lost; so its answer is waited for.
    Given a small gateway
    And server "m1" takes 150 ms for each event
    When a caller of "small" streams "/plan/x" from "n1"
    Then the stream is whole with events 1 to 6
    And "model" ran 1 requests

  Scenario: a stream stays with its silent server while another region may only refuse it
    # The server of this region is silent for longer than the patience. The other region would
    # be asked, but its server is full: the caller would get a failure, though the first one
    # still reads the prompt.
    Given a small gateway with a southern region
    And server "m1" takes 150 ms for each event
    And server "m9" has fault "full" 9 times
    When a caller of "small" streams "/plan/x" from "n1"
    Then the stream is whole with events 1 to 6
    And server "m9" ran 0 requests
