Feature: the log tells by id on what ground a request was said not to have run

  # Guards against a wrong promise whose request no line names, as its line was over the limit.
  Scenario: each refused order is named, with its server's word, its connection and its place there
    Given a daemon before servers "b1:books, b2:books, b3:books, b4:books"
    And every server has fault "full" 120 times
    When 60 callers order at once
    Then all of the orders get 503
    And the log names each of them, at least 25 with the server's word on a connection

  Scenario: each order that is refused unsent is named
    Given a daemon before servers "m1:model"
    When 60 callers order at once
    Then all of the orders get 503
    And the log names each of them as "not_run_unsent"

  # Guards against refusals of the parser that no line names.
  Scenario Outline: a request that is refused before it was read is named
    Given a daemon before servers "b1:books"
    When an unfinished or overlong request comes: <what>
    Then it is refused with <status>, by its id
    And the log names it as "<event>"

    Examples:
      | what                          | status | event          |
      | half a head, and no more      | 408    | not_run_unsent |
      | a body that is too long       | 413    | refused_unread |
      | a head that is too long       | 431    | refused_unread |

  Scenario: a server's own failure that is passed on is named
    Given a daemon before servers "b1:books"
    And server "b1" has fault "errors" 5 times
    When 5 callers order at once
    Then all of the orders get 500
    And the log names each of them as "passed_on"

  # Guards against a send that may have run, of which no line tells on which connection.
  Scenario: a send whose outcome is unknown names its connection
    Given a daemon before servers "b1:books"
    And server "b1" has fault "lost" 5 times
    When 5 callers order at once
    Then all of the orders get 502
    And the log names the connection of each send that broke
