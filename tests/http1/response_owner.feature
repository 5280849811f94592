Feature: whose a response is, by the id that it echoes

  Scenario Outline: a response with the ids "<ids>" to a request with the id "<id>" is <owner>'s
    Then a response with the ids "<ids>" to a request with the id "<id>" is that of "<owner>"

    Examples:
      | id | ids      | owner   |
      | a  | a        | request |
      | a  |          | nobody  |
      | a  | b        | another |
      | a  | a, b     | nobody  |
      | a  | b, a     | nobody  |
      | a  | b, c     | another |
      | a  | A        | another |
      | a  | <blank>  | another |
      | a  | a, a     | request |
      |    |          | request |
      |    | a        | another |
      |    | <blank>  | request |

  # Guards against an answer that was there before its request.
  Scenario: a response that came before the request was sent is not the request's, whatever its id
    Given a new connection on which a response with the id "a" has come
    When a request with the id "a" is sent
    Then no response has come yet
    When a response with the id "a" and the body "own" comes
    Then the body of the response is "own"
    And the connection carries no further request

  Scenario: so it is where only a part of the response came before the request
    Given a new connection on which half a response with the id "a" has come
    When a request with the id "a" is sent
    And the other half comes
    Then no response has come yet
    When a response with the id "a" and the body "own" comes
    Then the body of the response is "own"

  # Guards against a response to the first of two requests with one id, told twice, that is taken for the second one's.
  Scenario: a connection carries no two requests of one id in a row
    Given a connection that has carried a request with the id "a"
    Then it takes no request with the id "a"
    And it takes a request with the id "b"

  # Guards against the status of one response with the id of the next.
  Scenario Outline: a head that breaks off <where> gives the next one nothing
    Given a new connection on which a request with the id "a" was sent
    When "<begin>" and then a response with the id "a" comes, <how>
    Then the response is broken

    Examples:
      | where                 | begin                             | how          |
      | in its status line    | HTTP/1.1 421                      | at once      |
      | in a header's value   | HTTP/1.1 503 Full\r\nx-ran:       | at once      |
      | in its status line    | HTTP/1.1 421                      | byte by byte |
      | in a header's value   | HTTP/1.1 503 Full\r\nx-ran:       | byte by byte |
