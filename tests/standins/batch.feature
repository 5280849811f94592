Feature: the stand-in engine's batch

  Background:
    # A step takes 10 ms and 1 ms for each sequence; 10 prompt tokens are read in a ms.
    Given a batch of 2 slots that keeps 300 tokens

  Scenario: every sequence slows the others' tokens
    When sequence "a" asks for 5 tokens after a prompt of "x:100"
    Then sequence "a" ends after 65 ms
    When sequences "b" and "c" ask at once for 5 tokens after prompts of "y:100" and "z:100"
    Then sequence "c" ends after 80 ms

  Scenario: a part is read once, and only what follows parts that are kept is kept
    When sequence "a" asks for 1 tokens after a prompt of "x:100,y:50"
    Then sequence "a" ends after 26 ms
    When sequence "b" asks for 1 tokens after a prompt of "x:100,y:50,z:20"
    Then sequence "b" ends after 13 ms
    When sequence "c" asks for 1 tokens after a prompt of "n:40,y:50"
    Then sequence "c" ends after 20 ms

  Scenario: the part that was used longest ago gives way
    When sequence "a" asks for 1 tokens after a prompt of "x:200"
    Then sequence "a" ends after 31 ms
    When sequence "b" asks for 1 tokens after a prompt of "y:200"
    Then sequence "b" ends after 31 ms
    When sequence "c" asks for 1 tokens after a prompt of "x:200"
    Then sequence "c" ends after 31 ms

  Scenario: with the slots taken, the more urgent one starts first
    Given a batch of 1 slots that keeps 300 tokens
    When sequence "a" asks for 10 tokens after a prompt of "x:10"
    And sequence "late" asks for 1 tokens with priority 0
    And sequence "first" asks for 1 tokens with priority 5
    Then sequence "first" ends before sequence "late"
