Feature: who waits in a service's line on one VM

  Scenario: of hundreds that wait only the first look again and again
    # On a VM that places for its region, hundreds wait in a burst. All of them looking each 25 ms
    # took the processor that its answers needed: they came late, and the others decided alone.
    Given a line in which 200 requests wait for 400 ms
    Then none of them left early and they looked at most 400 times in all

  Scenario: who comes up to the front looks at once
    Given a line in which 5 requests wait for 2000 ms
    When the first 4 leave one after the other
    Then the last one has looked within 100 ms
