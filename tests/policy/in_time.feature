Feature: what can't be answered whole before its deadline isn't sent

  Scenario Outline: whether an answer may end in time
    # Callers tell the most tokens of an answer; half of them is what a short one has.
    Then with <left> ms left, a first event after <first> ms and <writing> ms of writing it <may>

    Examples:
      | left | first | writing | may      |
      | 5000 | 300   | 2000    | may      |
      | 300  | 300   | 0       | may      |
      | 300  | 301   | 0       | may not  |
      | 1000 | 300   | 1400    | may      |
      | 1000 | 300   | 1500    | may not  |

  Scenario: how long a server writes is learned from its answers
    Given a server that has given no answer yet
    Then an answer of 100 tokens is expected to take 0 ms
    When it has written 30 answers of at most 200 tokens in 1000 ms each
    Then an answer of 100 tokens is expected to take 500 ms
    When it has written 60 answers of at most 200 tokens in 4000 ms each
    Then an answer of 100 tokens is expected to take 2000 ms
