Feature: how quickly servers read, and what a long prompt costs those who run beside it

  Scenario Outline: a server's speed is learned from its first events
    Given servers "a" that are idle
    When server "a" answers 40 prompts of 8000 tokens, each 12 ms after reading <speed> tokens a ms
    Then server "a" is believed to read <least> to <most> tokens a ms

    Examples:
      | speed | least | most |
      | 10    | 9     | 11   |
      | 66    | 62    | 70   |
      | 120   | 110   | 130  |

  Scenario: short answers and impossible ones tell nothing about reading
    Given servers "a" that are idle
    When server "a" answers 40 prompts of 300 tokens, each 12 ms after reading 5 tokens a ms
    Then server "a" is believed to read 40 to 40 tokens a ms

  # What a caller sees: its answer began in time, but an event in its middle came half a second
  # after the one before. A prompt of 12,000 tokens was read at its server in pieces between the
  # events of twenty streams, while another server had two, and a bit more to read.
  Scenario: a long prompt goes where few streams run, a question where least is read
    Given servers "a, b" that are idle
    And server "a" has 6 requests running and 0 waiting
    And server "b" has 1 requests running and 0 waiting
    And server "b" has 3000 tokens to read
    Then a prompt of 12000 tokens goes to "b"
    And a prompt of 100 tokens goes to "a"

  Scenario: a slow server gets less to read than its neighbour
    Given servers "a, b" that are idle
    When server "a" answers 40 prompts of 8000 tokens, each 12 ms after reading 20 tokens a ms
    And server "b" answers 40 prompts of 8000 tokens, each 12 ms after reading 60 tokens a ms
    And server "b" has 12000 tokens to read
    Then a prompt of 12000 tokens goes to "b"
