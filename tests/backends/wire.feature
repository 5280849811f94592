Feature: whatever bytes a backend server sends, the caller gets a complete response or an error

  Background:
    Given a backends rig

  Scenario Outline: responses given byte by byte
    # A backend server sends exactly these bytes and then closes or waits. A response without its
    # end is an error; bytes after the end are never taken for the next response.
    Given a raw server at the backends rig that sends "<bytes>"
    When the backends rig sends "<method>" "/x" to the raw server
    Then the raw response at the backends rig is "<outcome>"
    And the backends rig keeps the raw connection: <kept>

    Examples:
      | bytes                 | method | outcome              | kept |
      | length                | GET    | 200 hello            | yes  |
      | chunked               | GET    | 200 hello            | yes  |
      | close requested       | GET    | 200 hello            | no   |
      | old http              | GET    | 200 hello            | no   |
      | early hints           | GET    | 200 hello            | yes  |
      | head                  | HEAD   | 200                  | yes  |
      | no content            | GET    | 204                  | yes  |
      | not modified          | GET    | 304                  | yes  |
      | extra bytes           | GET    | 200 hello            | no   |
      | extra bytes, no HTTP  | GET    | 200 hello            | no   |
      | extra bytes, closing  | GET    | 200 hello            | no   |
      | short                 | GET    | stream_broken        | no   |
      | half chunk            | GET    | stream_broken        | no   |
      | half chunk, spaces    | GET    | stream_broken        | no   |
      | no last chunk         | GET    | stream_broken        | no   |
      | bad chunk             | GET    | backend_failed       | no   |
      | not http              | GET    | backend_failed       | no   |
      | two lengths           | GET    | backend_failed       | no   |
      | length and chunked    | GET    | backend_failed       | no   |
      | incomplete head       | GET    | backend_failed       | no   |
      | nothing               | GET    | backend_failed       | no   |
      | oversized head        | GET    | backend_failed       | no   |
      | switching protocols   | GET    | backend_failed       | no   |
      | response to another   | GET    | backend_failed       | no   |
      | response to nobody    | GET    | backend_failed       | no   |
      | refusal of nobody     | GET    | backend_failed       | no   |
      | refusal of another    | GET    | backend_failed       | no   |
      | refusal of two        | GET    | backend_failed       | no   |
      | half a status line    | GET    | backend_failed       | no   |
      | half a refusal        | GET    | backend_failed       | no   |
      | no length             | GET    | 200 hello            | no   |
      | no length, reset      | GET    | stream_broken        | no   |
      | no length, silent     | GET    | backend_silent       | no   |

  Scenario Outline: requests that could be parsed as something else are not sent
    When the backends rig sends a plain call with "<what>"
    Then the backends rig's caller got error "bad_request" with ran "no"

    Examples:
      | what                    |
      | a line break in a value |
      | a space in the target   |
      | a colon in a name       |

  Scenario: a late response is never given to the next caller
    # The first call's response comes after its timeout, and its caller gets an error. The late
    # response arrives on a connection that was closed with the call; the next caller gets its own.
    Given the backends rig's plain service responds to its first call 1500 ms late
    When the backends rig sends "GET" "/echo/first" to the plain service
    Then the backends rig's caller got error "backend_silent" with ran "unknown"
    When the backends rig sends "GET" "/echo/second" to the plain service
    Then the plain response at the backends rig names path "/echo/second"
