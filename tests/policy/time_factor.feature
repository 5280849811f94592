Feature: how long work takes at a server at the moment, from what it says

  Scenario: what a server says loses weight as it ages, then its average counts
    Given a server that said 1.0 each 100 ms for 20 s, and then 2.5
    Then its factor is between 2.4 and 2.5 at once
    And its factor is between 1.0 and 1.6 after 800 ms
    And its factor is between 1.0 and 1.1 after 5000 ms

  Scenario Outline: what makes no sense or is older than what is known changes nothing
    Given a server that said 1.0 each 100 ms for 20 s, and then 2.5
    When it is told that the server said <factor> <age> ms ago
    Then its factor is between 2.4 and 2.5 at once

    Examples:
      | factor | age  |
      | 0      | 0    |
      | -1     | 0    |
      | nan    | 0    |
      | inf    | 0    |
      | 1e9    | 0    |
      | 0.5    | 10   |

  Scenario: a server that says nothing is as fast as was learned
    Given servers "a" of 8 slots
    Then the expected wait at "a" is the same whether the time is 0 ms or 60000 ms

  Scenario: a learned speed is the usual one, however slow the server was meanwhile
    Given servers "a" of 8 slots
    When "a" says 2.0 and prefills 60 prompts of 4000 tokens in 212 ms each
    Then the learned speed of "a" is within 0.1 of 40 tokens a ms

  # The load: prompts of 4,000 tokens, each 100 ms of work at a usual server, that keep 16 servers
  # busy for 0.7 of the time. Each is 0.6 to 2.5 times as slow, anew each half second.
  Scenario: prompts go where work is done fast now
    Given 16 servers whose speed changes each 500 ms, and prompts for 0.7 of what they bear
    When they are placed for 20 s with what servers say, and without it
    Then at least 0.95 of the prompts are read within 200 ms with what servers say
    And at most half as many are later than that as without it

  Scenario: nothing queues at a server that is slower than usual
    Given servers "a" of 8 slots
    When "a" says 1.0 for 20 s and runs 8 requests
    Then there is room at "a" for one more
    When "a" says 2.5
    Then there is no room at "a"

  Scenario Outline: an idle server is asked only if its answer could change the choice
    Given servers "a, b, c" of 8 slots
    And "a" and "b" say <busy> now
    And "c" said <idle> on average, <spread> from it usually, for the last time <age> ms ago
    Then the server to ask is "<asked>"

    Examples:
      | busy | idle | spread | age  | asked |
      | 1.0  | 1.1  | 0.3    | 3000 | c     |
      | 1.0  | 1.1  | 0.3    | 300  | none  |
      | 1.0  | 2.5  | 0.2    | 3000 | none  |
      | 2.5  | 0.8  | 0.1    | 3000 | none  |
