Feature: dispatch runs each call once, in an allowed region, and settles its tokens

  Scenario: a call gets its complete response and is charged for the tokens used
    Given a dispatch gateway with engines "e1"
    When a dispatch caller of account "family" sends a call
    Then the dispatch caller gets "complete"
    And 15 tokens were spent at dispatch

  Scenario: a call that arrives right after a ticket is decided by the new configuration
    # A ticket that adds the first engine is in force, but the scheduler was last updated before it,
    # up to 100 ms ago. A call decided by that state would be refused for lack of engines, with a
    # retry-after of 40 s.
    Given a dispatch gateway with engines "none"
    When a ticket at dispatch "adds the first engine"
    And a dispatch caller of account "family" sends a call
    Then the dispatch caller gets "complete"

  Scenario Outline: a call that may not run in this region is refused without being charged
    # The entry VM checked the call, then a ticket changed the rule, or a peer with an older
    # configuration forwarded it. The check at the executing VM refuses it as not run.
    Given a dispatch gateway with engines "e1"
    When a dispatch caller of account "<account>" sends a call
    Then the dispatch caller gets "<outcome>"
    And its dispatch refusal says ran "no"
    And no dispatch engine was called
    And 0 tokens were spent at dispatch

    Examples:
      | account   | outcome           |
      | abroad    | residency         |
      | lost-rule | residency_unknown |

  Scenario Outline: tokens are settled however the call ends
    # The engine refuses, fails, or stops without an end mark. The prompt that was prefilled and the
    # tokens that reached the caller are charged, the rest is refunded.
    Given a dispatch gateway with engines "e1"
    And dispatch engine "e1" has plan "<plan>"
    When a dispatch caller sends a call that is not idempotent
    And 5000 ms pass at dispatch
    Then the dispatch caller gets "<outcome>"
    And its dispatch refusal says ran "<ran>"
    And <spent> tokens were spent at dispatch

    Examples:
      | plan   | outcome         | ran     | spent |
      | refuse | backend_refused | no      | 0     |
      | fail   | backend_failed  | unknown | 0     |
      | cut    | stream_broken   | unknown | 13    |

  Scenario: a caller that disconnects has its call cancelled at the engine
    # The caller's connection closes during the stream and its task is cancelled. Without a
    # cancel, the engine would go on generating for nobody in a slot that others wait for.
    Given a dispatch gateway with engines "e1"
    And dispatch engine "e1" has plan "hang"
    When a dispatch caller of account "family" sends a call
    And the dispatch caller disconnects
    Then dispatch engine "e1" got a cancel
    And 13 tokens were spent at dispatch

  Scenario Outline: a ticket that forbids a running stream ends it
    # The ticket comes into force during the stream. The caller gets an error, never a clean end,
    # and the engine gets a cancel.
    Given a dispatch gateway with engines "e1"
    And dispatch engine "e1" has plan "hang"
    When a dispatch caller of account "family" sends a call
    And a ticket at dispatch "<change>"
    Then the dispatch caller gets "<outcome>"
    And dispatch engine "e1" got a cancel

    Examples:
      | change                                  | outcome       |
      | revokes the key                         | key_withdrawn |
      | restricts the account to another region | stream_broken |

  Scenario: a call that is not idempotent runs to its end though its key was revoked
    # The call is at its backend server already. Terminating it would leave an unknown outcome.
    Given a dispatch gateway with engines "e1"
    And dispatch engine "e1" has plan "hang"
    When a dispatch caller sends a call that is not idempotent
    And a ticket at dispatch "revokes the key"
    Then the dispatch caller gets "running"
