Feature: dispatch runs each call once, where it may, and settles its tokens

  Scenario: a call gets its whole answer and pays for what it used
    Given a dispatch gateway with engines "e1"
    When a dispatch caller of account "family" asks
    Then the dispatch caller gets "whole"
    And 15 tokens were spent at dispatch

  Scenario: a call that comes right after a ticket is judged by it
    # The ticket brings the first engine and is in force. A call that comes within the same tenth
    # of a second finds the engines as they were looked over before, none: it was refused, and told
    # to come back in 40 s.
    Given a dispatch gateway with engines "none"
    When a ticket at dispatch "adds the first engine"
    And a dispatch caller of account "family" asks
    Then the dispatch caller gets "whole"

  Scenario Outline: a call that may not run here is refused before it costs anything
    # The entry VM checked the call, then a ticket changed the rule, or a peer with an older
    # view forwarded it. The check at the executing VM refuses it as not run.
    Given a dispatch gateway with engines "e1"
    When a dispatch caller of account "<account>" asks
    Then the dispatch caller gets "<outcome>"
    And its dispatch refusal says ran "no"
    And no dispatch engine was called
    And 0 tokens were spent at dispatch

    Examples:
      | account   | outcome           |
      | abroad    | residency         |
      | lost-rule | residency_unknown |

  Scenario Outline: tokens are settled whatever the ending
    # The engine refuses, fails, or stops without its end. What reached the caller and the
    # prompt read for it stay spent, the rest comes back.
    Given a dispatch gateway with engines "e1"
    And dispatch engine "e1" will "<plan>"
    When a dispatch caller asks for a call that may not be repeated
    And 5000 ms pass at dispatch
    Then the dispatch caller gets "<outcome>"
    And its dispatch refusal says ran "<ran>"
    And <spent> tokens were spent at dispatch

    Examples:
      | plan   | outcome         | ran     | spent |
      | refuse | backend_refused | no      | 0     |
      | fail   | backend_failed  | unknown | 0     |
      | cut    | stream_broken   | unknown | 13    |

  Scenario: a caller that vanishes has its call cancelled at the engine
    # The stream is under way when the caller's connection goes; its task is cancelled. The
    # engine must hear of it, or it goes on generating for nobody in a slot others wait for.
    Given a dispatch gateway with engines "e1"
    And dispatch engine "e1" will "hang"
    When a dispatch caller of account "family" asks
    And the dispatch caller vanishes
    Then dispatch engine "e1" was told to cancel
    And 13 tokens were spent at dispatch

  Scenario Outline: a ticket that forbids a running stream ends it
    # The stream runs when the ticket comes into force. Its caller gets an error, never a
    # clean end, and the engine is told to cancel.
    Given a dispatch gateway with engines "e1"
    And dispatch engine "e1" will "hang"
    When a dispatch caller of account "family" asks
    And a ticket at dispatch "<change>"
    Then the dispatch caller gets "<outcome>"
    And dispatch engine "e1" was told to cancel

    Examples:
      | change                   | outcome       |
      | withdraws the key        | key_withdrawn |
      | moves the account abroad | stream_broken |

  Scenario: a call that may not be repeated runs out though its key was withdrawn
    # The order is at its backend server already. Ending it would leave an unknown outcome.
    Given a dispatch gateway with engines "e1"
    And dispatch engine "e1" will "hang"
    When a dispatch caller asks for a call that may not be repeated
    And a ticket at dispatch "withdraws the key"
    Then the dispatch caller gets "running"
