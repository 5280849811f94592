Feature: the response to a HEAD request has no body

  # Guards against a request that waits for a body that never comes.
  Scenario Outline: the response to a HEAD request is whole after its head
    Given a HEAD request was sent
    When the head arrives with "<header>"
    Then the response is complete and has no body

    Examples:
      | header                     |
      | Content-Length: 10         |
      | Transfer-Encoding: chunked |
      | X-Any: 1                   |
