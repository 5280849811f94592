Feature: a large body is read only for a request that may be admitted

  # The whole body was read first, and a refusal came when it had, or at the time limit.
  Scenario Outline: a request whose body is still to come is refused by its head
    Given a small gateway whose operator allows bodies of 1 MiB
    When a caller sends the head of a request <request>, and none of its body
    Then it gets <status>
    And no server ran anything

    Examples:
      | request                       | status |
      | with an unknown key           | 401    |
      | without a key                 | 401    |
      | on a route that is not there  | 404    |
      | without an id                 | 400    |
      | of an account over its rate   | 429    |
      | with a body over the limit    | 413    |
      | with a length of 30 digits    | 413    |
      | that waits to be told to go on, with an unknown key | 401 |

  Scenario: a chunked body is read until it is large
    Given a small gateway whose operator allows bodies of 1 MiB
    When a caller sends 70000 bytes in chunks with an unknown key, and not the end
    Then it gets 401
    And no server ran anything

  Scenario: a VM that shuts down refuses by the head
    Given a small gateway whose operator allows bodies of 1 MiB
    And its VM takes no more requests
    When a caller sends the head of a request in order, and none of its body
    Then it gets 503
    And no server ran anything

  Scenario Outline: no body is read where none is expected
    Given a small gateway whose operator allows bodies of 1 MiB
    When a caller sends the head of a request in order to the port "<port>", and none of its body
    Then it gets <status>

    Examples:
      | port      | status |
      | directory | 413    |
      | ready     | 413    |
      | state     | 413    |
      | peers     | 404    |

  Scenario: a large body in order is served once
    Given a small gateway whose operator allows bodies of 1 MiB
    When a caller sends a request in order with its whole body
    Then it gets 200
    And the servers ran 1 request with the whole body
