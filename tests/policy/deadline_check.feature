Feature: requests that can't be complete before their deadline aren't sent

  Scenario Outline: whether a response may be complete in time
    # Callers declare the maximum output tokens; a short response is assumed to have half of them.
    Then with <left> ms left, a first event after <first> ms and <decode> ms of decoding it <may>

    Examples:
      | left | first | decode | may      |
      | 5000 | 300   | 2000   | may      |
      | 300  | 300   | 0      | may      |
      | 300  | 301   | 0      | may not  |
      | 1000 | 300   | 1400   | may      |
      | 1000 | 300   | 1500   | may not  |

  Scenario: a server's decode time is learned from its responses
    Given a server that has not responded yet
    Then a response of 100 tokens is expected to take 0 ms
    When it has decoded 30 responses of at most 200 tokens in 1000 ms each
    Then a response of 100 tokens is expected to take 500 ms
    When it has decoded 60 responses of at most 200 tokens in 4000 ms each
    Then a response of 100 tokens is expected to take 2000 ms
