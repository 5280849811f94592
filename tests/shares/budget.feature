Feature: rate and burst of an account hold over all VMs, and no request inside them is refused

  Scenario: a lone VM spends the burst, refuses, and goes on as tokens arrive
    Given a lone budget VM and an account of rate 1000 and burst 2000
    When budget VM "a0" takes 2000 tokens
    Then the budget admits it
    When budget VM "a0" takes 500 tokens
    Then the budget refuses it as "rate_limited", to be tried again after 501 ms
    When 500 ms pass in the budget fleet
    And budget VM "a0" takes 500 tokens
    Then the budget admits it
    When budget VM "a0" takes 2001 tokens
    Then the budget refuses it as "cost_over_burst"

  Scenario: tokens that a request did not use come back, those used beyond are paid first
    Given a lone budget VM and an account of rate 1000 and burst 2000
    When budget VM "a0" takes 2000 tokens
    And its request settles with 500 tokens used
    And budget VM "a0" takes 1500 tokens
    Then the budget admits it
    When its request settles with 2500 tokens used
    And 1000 ms pass in the budget fleet
    And budget VM "a0" takes 100 tokens
    Then the budget refuses it as "rate_limited", to be tried again after 101 ms

  Scenario Outline: all of an account's traffic at one VM, then at another, is served inside its rate
    # The caller sees no refusal. Fractions stand evenly on all VMs, the traffic comes in at
    # one: it borrows from the others within the request, and their fractions then follow.
    Given a budget fleet of <fleet> and an account of rate 1000 and burst 2000
    When 95 tokens are taken every 100 ms for 20000 ms at budget VM "a0"
    And 95 tokens are taken every 100 ms for 20000 ms at budget VM "<next>"
    Then the budget refused 0 requests
    And the budget fleet kept within rate and burst

    Examples:
      | fleet                     | next |
      | a0 a1 a2                  | a1   |
      | a0 a1 a2 b0 b1 b2 c0 c1 c2 | b1   |

  Scenario: a data centre that is cut off spends its own fractions and no more
    # Callers on both sides send far too much. Neither side hears the other, leases lapse at
    # the platform, and the sum over both sides still stays within the account's.
    Given a budget fleet of a0 a1 b0 b1 and an account of rate 1000 and burst 2000
    When data centre "b" is cut off from the budget fleet
    And 300 tokens are taken every 100 ms for 30000 ms at budget VMs "a0 b0 b1"
    Then budget VM "b0" served at least 5000 tokens
    And the budget fleet kept within rate and burst

  Scenario: a dead VM's fractions pass to its own data centre only, once its lease lapsed
    # The VM dies with its fractions. A neighbour takes them over after the lease; a VM of
    # another data centre may not, since from there a cut-off VM looks the same as a dead one.
    Given a budget fleet of a0 a1 b0 and an account of rate 1000 and burst 2000
    When budget VM "a1" crashes
    And 5000 ms pass in the budget fleet
    Then data centre "a" acts on less than the fractions that its ledger names
    When 20000 ms pass in the budget fleet
    Then budget VM "a1" holds nothing in the ledger
    And data centre "a" acts on all the fractions that its ledger names

  Scenario: no other data centre takes over from one whose VMs all died
    Given a budget fleet of a0 a1 b0 and an account of rate 1000 and burst 2000
    When budget VM "b0" crashes
    And 60000 ms pass in the budget fleet
    Then budget VM "b0" still holds its part in the ledger

  Scenario: a VM that was paused past its lease asks before it spends again
    # The VM stands still while its lease lapses and a neighbour takes its fractions over.
    # On waking, its first request waits for the ledger and is served from what is left to
    # it; without the question both VMs would spend the same fraction.
    Given a budget fleet of a0 a1 and an account of rate 1000 and burst 2000
    When budget VM "a1" is paused for 30000 ms
    And 200 tokens are taken every 100 ms for 10000 ms at budget VMs "a0 a1"
    Then the budget fleet kept within rate and burst

  Scenario: a VM paused past its lease, with the platform out, is told by its neighbour
    Given a budget fleet of a0 a1 and an account of rate 1000 and burst 2000
    When budget VM "a1" is paused for 30000 ms and wakes with the platform out
    And 200 tokens are taken every 100 ms for 10000 ms at budget VMs "a0 a1"
    Then the budget fleet kept within rate and burst
    And the budget fleet served at least 9000 tokens

  Scenario: with the platform out and no neighbour that answers, a VM stops
    # Cut off from everything, it cannot tell whether a neighbour took its fractions over.
    # The caller is sent elsewhere, as not run.
    Given a budget fleet of a0 a1 and an account of rate 1000 and burst 2000
    When the platform is out for the budget fleet
    And budget VM "a1" crashes
    And 30000 ms pass in the budget fleet
    And budget VM "a0" takes 10 tokens
    Then the budget refuses it as "not_ready"

  Scenario Outline: a write to the ledger whose answer is lost gives nothing out twice
    # The caller sees nothing. The giver has shrunk already; it does not grow back on what it
    # reads next, as its write may land still later, after which another VM has that part.
    Given a budget fleet of a0 b0 and an account of rate 1000 and burst 2000
    When the next ledger write of budget VM "a0" <fate>
    And 95 tokens are taken every 100 ms for 12000 ms at budget VM "b0"
    And writes of budget VM "a0" that were under way land
    And 300 tokens are taken every 100 ms for 10000 ms at budget VMs "a0 b0"
    Then the budget fleet kept within rate and burst

    Examples:
      | fate                     |
      | loses its answer         |
      | lands late               |
      | lands after it is cut off |

  Scenario Outline: messages between VMs get lost or come twice
    Given a budget fleet of a0 a1 b0 b1 and an account of rate 1000 and burst 2000
    When peers of budget VM "a0" <fault>
    And 150 tokens are taken every 100 ms for 20000 ms at budget VMs "a0 b0"
    Then the budget fleet kept within rate and burst

    Examples:
      | fault                    |
      | lose their replies       |
      | get its requests twice   |

  Scenario: a lowered rate is in force on every VM that has the change ticket
    Given a budget fleet of a0 a1 b0 and an account of rate 1000 and burst 2000
    When 150 tokens are taken every 100 ms for 3000 ms at budget VMs "a0 b0"
    And a change ticket sets the account to rate 100 and burst 200
    And 50 tokens are taken every 100 ms for 10000 ms at budget VMs "a0 a1 b0"
    Then since the change ticket the budget fleet kept within rate 100 and burst 200

  Scenario Outline: an account that a change ticket just made is served at its first request
    # The ticket and the first request come right after one another, before any round with
    # the ledger: the request waits for the round, and is never told that it is over its rate.
    Given a budget fleet of a0 a1 b0 and an account of rate 1000 and burst 2000
    When a change ticket adds budget account "fresh" and <platform>
    And budget VM "<vm>" takes 100 tokens of account "fresh"
    Then <outcome>

    Examples:
      | vm | platform             | outcome                              |
      | a0 | the platform answers | the budget admits it                 |
      | b0 | the platform answers | the budget admits it                 |
      | a0 | the platform is out  | the budget refuses it as "not_ready" |

  Scenario: the task that keeps the ledger crashes and is started again
    # Fractions and tokens came to the VM before. Read anew by a task that remembers nothing,
    # the tokens that came along would be credited and spent a second time.
    Given a budget fleet of a0 b0 and an account of rate 10 and burst 2000
    When budget VM "b0" takes 990 tokens
    And 4 tokens are taken every 200 ms for 8000 ms at budget VM "b0"
    And budget VM "b0" takes 500 tokens
    And the budget task of VM "b0" crashes and is started again
    And budget VM "b0" takes 1000 tokens
    Then the budget refuses it as "rate_limited"
    And the budget fleet kept within rate and burst

  Scenario: a VM that is in doubt of its fractions lends nothing of them
    # A neighbour took over from the paused VM and died. The paused VM wakes with the platform
    # out and nobody to ask; what another data centre asks of it may have been spent already.
    Given a budget fleet of a0 a1 b0 and an account of rate 1000 and burst 2000
    When budget VM "a1" is paused for 30000 ms and wakes with the platform out
    And budget VM "a0" crashes
    Then budget VM "a1" lends nothing when "b0" asks it for 500 tokens

  Scenario: a VM that only the platform can't hear keeps its fractions
    # Its lease lapses and it gets no promise, so it spends nothing; its neighbour hears its
    # heartbeats and leaves its fractions alone.
    Given a budget fleet of a0 a1 and an account of rate 1000 and burst 2000
    When the platform is out for budget VM "a1" alone
    And peers of budget VM "a1" are never reached
    And 40000 ms pass in the budget fleet
    Then budget VM "a1" still holds its part in the ledger

  Scenario: a VM whose neighbour promised not to take over keeps its fractions
    # Membership lost sight of it, its lease has lapsed, but it has asked its neighbour.
    Given a budget fleet of a0 a1 and an account of rate 1000 and burst 2000
    When the platform is out for budget VM "a1" alone
    And budget VM "a0" does not hear "a1"
    And 300 tokens are taken every 100 ms for 30000 ms at budget VMs "a0 a1"
    Then budget VM "a1" still holds its part in the ledger
    And the budget fleet kept within rate and burst

  Scenario: fractions of a dead VM wait until its loans have run out
    Given a budget fleet of a0 a1 and an account of rate 1000 and burst 2000
    When budget VM "a1" crashes
    And 2000 ms pass after the lease of budget VM "a1" lapsed
    Then budget VM "a1" still holds its part in the ledger
    When 10000 ms pass in the budget fleet
    Then budget VM "a1" holds nothing in the ledger

  Scenario: a holder that renews its lease in the last moment keeps its fractions
    Given a budget fleet of a0 a1 and an account of rate 1000 and burst 2000
    When budget VM "a1" renews its lease right before "a0" takes over
    Then budget VM "a1" still holds its part in the ledger

  Scenario: a VM that shuts down right after it lent waits for its loans
    # What it lent is still being spent elsewhere; handed on at once, the fraction under it
    # would be spent once more by its new holder.
    Given a budget fleet of a0 b0 and an account of rate 1000 and burst 2000
    When 95 tokens are taken every 50 ms for 1000 ms at budget VM "b0"
    And budget VM "a0" shuts down
    And 95 tokens are taken every 50 ms for 5000 ms at budget VM "b0"
    Then the budget fleet kept within rate and burst

  Scenario: fractions that move set off no more moves
    # Traffic changes place all the time. Each VM that is given a fraction reads the ledger at
    # once; if it also gave on at once, the fleet would ask the platform without a pause.
    Given a budget fleet of a0 a1 a2 b0 b1 b2 c0 c1 c2 and an account of rate 1000 and burst 2000
    When 27 tokens are taken every 30 ms for 12000 ms at one budget VM after the other, data centre by data centre
    Then each budget VM asked the platform at most 2.5 times a second in the last 12000 ms

  Scenario: a VM that shuts down repays its loans and hands its fractions on
    Given a budget fleet of a0 a1 b0 and an account of rate 1000 and burst 2000
    When 95 tokens are taken every 100 ms for 5000 ms at budget VM "a0"
    And budget VM "a0" shuts down
    Then budget VM "a0" holds nothing in the ledger
    When 95 tokens are taken every 100 ms for 20000 ms at budget VM "b0"
    Then the budget refused 0 requests
    And the budget fleet kept within rate and burst
