Feature: the OpenAI client library works unchanged

  Background:
    Given a front rig

  Scenario Outline: completions
    When an openai client at the front requests "<kind>", streamed: <streamed>
    Then the openai client at the front got the complete response

    Examples:
      | kind       | streamed |
      | chat       | no       |
      | chat       | yes      |
      | completion | no       |
      | completion | yes      |

  Scenario: list of models
    When an openai client at the front lists models
    Then the openai client at the front got models "small"

  Scenario Outline: refusals become the library's own errors
    Given dispatch behind the front refuses with "<kind>"
    When an openai client at the front requests "chat", streamed: yes
    Then the openai client at the front got error "<error>" with code "<kind>"

    Examples:
      | kind           | error               |
      | rate_limited   | RateLimitError      |
      | model_unknown  | NotFoundError       |
      | key_withdrawn  | AuthenticationError |
      | overloaded     | InternalServerError |
      | bad_request    | BadRequestError     |

  Scenario: a broken stream ends with an error and not like a complete one
    # The engine breaks the connection after two tokens, on every attempt. The client gets two
    # tokens and an error event, but no end mark, and the connection is closed.
    Given the engine behind the front has fault "cut" after 2 tokens
    When an openai client at the front requests "chat", streamed: yes
    Then the openai client at the front got 2 tokens and error "APIError" with code "stream_broken"

  Scenario: the client library does not retry a call that may have run
    Given dispatch behind the front refuses with "backend_unknown"
    When an openai client at the front that retries requests "chat"
    Then dispatch behind the front got 1 call
