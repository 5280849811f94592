Feature: prompts that can only be late give way

  Scenario Outline: what waits at the gateway
    Then a prompt with objective <target> ms, of which <gone> passed, waits <waits> before <ahead> ms of reading and <own> ms of its own

    Examples:
      | target | gone | ahead | own | waits |
      | 1200   | 0    | 900   | 200 | no    |
      | 1200   | 0    | 1100  | 200 | yes   |
      | 1200   | 400  | 900   | 200 | yes   |
      | 1200   | 0    | 40    | 1300| no    |
      | 1200   | 5000 | 40    | 200 | no    |
      | 1200   | 5000 | 200   | 200 | yes   |

  # What callers see: two seconds of more long prompts than a server reads, questions among them.
  # Sent on at once, every prompt behind the first second's is late, and so is all that comes for
  # a second after. Where those that can only be late wait until little is left to read, what
  # comes after the burst is punctual, and the late ones are served all the same.
  Scenario: a burst of long prompts passes, and what comes after it is punctual again
    Given a server that reads 50 tokens a ms, and prompts of 10000 tokens with objective 1200 ms
    When 10 of them come each second for 2 s and 4 each second for 6 s after that
    Then sent on at once, at most 22 are punctual
    And where late ones wait up to 3000 ms, at least 33 are punctual
    And all 44 are served both ways

  Scenario Outline: for how long one that can only be late may wait
    Then with objective <target> ms, <gone> ms ago, and <left> ms left it waits up to <most> ms

    Examples:
      | target | gone | left  | most |
      | 1200   | 0    | 15000 | 3000 |
      | 1200   | 1000 | 14000 | 2000 |
      | 2500   | 0    | 3000  | 1500 |
