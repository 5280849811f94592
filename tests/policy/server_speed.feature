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

  # Guards against a queue of short lookups being taken for one of long streams: with one wait for
  # all, a server whose queue moves on each 4 ms looked as full as one where it takes 60 ms, and
  # requests left for another region though they would have been on time.
  Scenario Outline: the wait for each request ahead in a full server's queue is learned
    Given idle servers "a"
    When <count> requests hold a slot of server "a" for <ms> ms each
    Then with <slots> slots each request ahead there costs <least> to <most> ms

    Examples:
      | count | ms      | slots | least | most |
      | 0     | 0       | 6     | 60    | 60   |
      | 1     | 90      | 6     | 15    | 15   |
      | 20    | 22      | 6     | 3     | 4    |
      | 20    | 2000    | 48    | 40    | 43   |
      | 20    | 9000000 | 1     | 300   | 300  |
      | 20    | 1       | 64    | 0.5   | 0.5  |
      | 20    | 2000    | 0     | 300   | 300  |

  # Guards against a clock that jumps, or a server that reports nonsense, making a server look so fast
  # or so slow that every request goes there, or none.
  Scenario: no sequence of observations moves an estimate out of its bounds
    Then estimates stay within their bounds whatever times and sizes are observed
