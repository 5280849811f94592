Feature: a client library of the published API works unchanged

  Background:
    Given a front rig

  Scenario Outline: answers
    When an openai client at the front asks for "<kind>", streamed: <streamed>
    Then the openai client at the front got the whole answer

    Examples:
      | kind       | streamed |
      | chat       | no       |
      | chat       | yes      |
      | completion | no       |
      | completion | yes      |

  Scenario: models
    When an openai client at the front lists models
    Then the openai client at the front got models "small"

  Scenario Outline: refusals are the library's own errors
    Given dispatch behind the front refuses with "<kind>"
    When an openai client at the front asks for "chat", streamed: yes
    Then the openai client at the front got error "<error>" with code "<kind>"

    Examples:
      | kind           | error               |
      | rate_limited   | RateLimitError      |
      | model_unknown  | NotFoundError       |
      | key_withdrawn  | AuthenticationError |
      | overloaded     | InternalServerError |
      | bad_request    | BadRequestError     |

  Scenario: a stream that breaks is an error and never a clean end
    # The engine breaks the connection again and again after two tokens. The client sees two
    # tokens, then an error event; no end mark, and the connection is closed.
    Given the engine behind the front has fault "cut" after 2 tokens
    When an openai client at the front asks for "chat", streamed: yes
    Then the openai client at the front got 2 tokens and error "APIError" with code "stream_broken"

  Scenario: a client library does not repeat what must not be repeated
    Given dispatch behind the front refuses with "backend_unknown"
    When an openai client at the front that retries asks for "chat"
    Then dispatch behind the front got 1 call
