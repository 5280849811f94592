Feature: prompts that will miss their objective are deferred

  Scenario Outline: which prompts wait at the gateway
    Then a prompt with objective <target> ms, <elapsed> ms old, waits <waits> before <backlog> ms of prefill and <own> ms of its own

    Examples:
      | target | elapsed | backlog | own | waits |
      | 1200   | 0       | 900     | 200 | no    |
      | 1200   | 0       | 1100    | 200 | yes   |
      | 1200   | 400     | 900     | 200 | yes   |
      | 1200   | 0       | 40      | 1300| no    |
      | 1200   | 5000    | 40      | 200 | no    |
      | 1200   | 5000    | 200     | 200 | yes   |

  # Guards against a short overload making later prompts late, too: for two seconds more long
  # prompts come than a server prefills, questions among them. Sent on at once, every prompt behind
  # those of the first second is late, and so is all that comes for a second after the burst. With
  # deferral until little is left to prefill, what comes after the burst is on time, and the late
  # prompts are served all the same.
  Scenario: after a burst of long prompts, new prompts are on time again
    Given a server that prefills 50 tokens a ms, and prompts of 10000 tokens with objective 1200 ms
    When 10 of them come each second for 2 s and 4 each second for 6 s after that
    Then sent on at once, at most 22 are on time
    And where late ones are deferred up to 3000 ms, at least 33 are on time
    And all 44 are served both ways

  Scenario Outline: how long a request that will be late may be deferred
    Then with objective <target> ms, <elapsed> ms old, and <left> ms left it is deferred up to <most> ms

    Examples:
      | target | elapsed | left  | most |
      | 1200   | 0       | 15000 | 3000 |
      | 1200   | 1000    | 14000 | 2000 |
      | 2500   | 0       | 3000  | 1500 |
