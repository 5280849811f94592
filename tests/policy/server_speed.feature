Feature: how quickly servers prefill, and the delay that a long prompt causes beside it

  Scenario Outline: a server's speed is learned from its first events
    Given idle servers "a"
    When server "a" responds to 40 prompts of 8000 tokens, each 12 ms after prefilling <speed> tokens a ms
    Then server "a" is estimated to prefill <least> to <most> tokens a ms

    Examples:
      | speed | least | most |
      | 10    | 9     | 11   |
      | 66    | 62    | 70   |
      | 120   | 110   | 130  |

  Scenario: short prompts and impossible times don't change the estimate
    Given idle servers "a"
    When server "a" responds to 40 prompts of 300 tokens, each 12 ms after prefilling 5 tokens a ms
    Then server "a" is estimated to prefill 40 to 40 tokens a ms

  # Guards against a stream that begins in time and has a gap of half a second in its middle. A
  # prompt of 12,000 tokens is prefilled in chunks between the events of twenty streams at its
  # server, while another server has two streams and a bit more to prefill.
  Scenario: a long prompt goes where few streams run, a question where least is to be prefilled
    Given idle servers "a, b"
    And server "a" has 6 requests running and 0 waiting
    And server "b" has 1 requests running and 0 waiting
    And server "b" has 3000 tokens to prefill
    Then a prompt of 12000 tokens goes to "b"
    And a prompt of 100 tokens goes to "a"

  Scenario: a slow server gets less to prefill than its neighbour
    Given idle servers "a, b"
    When server "a" responds to 40 prompts of 8000 tokens, each 12 ms after prefilling 20 tokens a ms
    And server "b" responds to 40 prompts of 8000 tokens, each 12 ms after prefilling 60 tokens a ms
    And server "b" has 12000 tokens to prefill
    Then a prompt of 12000 tokens goes to "b"
