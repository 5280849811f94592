Feature: rate and burst of an account hold over all VMs, and no request within them is refused

  Scenario: a single VM spends the burst, refuses, and admits again as tokens arrive
    Given a single budget VM and an account of rate 1000 and burst 2000
    When budget VM "a0" takes 2000 tokens
    Then the budget admits it
    When budget VM "a0" takes 500 tokens
    Then the budget refuses it as "rate_limited", with retry-after 501 ms
    When 500 ms pass for the budget fleet
    And budget VM "a0" takes 500 tokens
    Then the budget admits it
    When budget VM "a0" takes 2001 tokens
    Then the budget refuses it as "cost_over_burst"

  Scenario: unused tokens are refunded, tokens used in excess are charged
    Given a single budget VM and an account of rate 1000 and burst 2000
    When budget VM "a0" takes 2000 tokens
    And its request settles with 500 tokens used
    And budget VM "a0" takes 1500 tokens
    Then the budget admits it
    When its request settles with 2500 tokens used
    And 1000 ms pass for the budget fleet
    And budget VM "a0" takes 100 tokens
    Then the budget refuses it as "rate_limited", with retry-after 101 ms

  Scenario Outline: all of an account's traffic at one VM, then at another, is served within its rate
    # Shares are spread evenly over all VMs while all traffic arrives at one. It borrows from the
    # others during the request, and their shares then move to it; the caller sees no refusal.
    Given a budget fleet of <fleet> and an account of rate 1000 and burst 2000
    When 95 tokens are taken every 100 ms for 20000 ms at budget VM "a0"
    And 95 tokens are taken every 100 ms for 20000 ms at budget VM "<next>"
    Then the budget refused 0 requests
    And the budget fleet kept within rate and burst

    Examples:
      | fleet                      | next |
      | a0 a1 a2                   | a1   |
      | a0 a1 a2 b0 b1 b2 c0 c1 c2 | b1   |

  Scenario: a data centre that is cut off spends its own shares and no more
    # Callers on both sides of a network partition send far too much, and leases expire at the
    # platform. The sum over both sides must stay within the account's rate and burst.
    Given a budget fleet of a0 a1 b0 b1 and an account of rate 1000 and burst 2000
    When data centre "b" is cut off from the budget fleet
    And 300 tokens are taken every 100 ms for 30000 ms at budget VMs "a0 b0 b1"
    Then budget VM "b0" served at least 5000 tokens
    And the budget fleet kept within rate and burst

  Scenario: a dead VM's shares pass to its own data centre only, once its lease expired
    # A neighbour takes over the shares of a dead VM after its lease. A VM of another data centre
    # may not, since from there a cut-off VM looks the same as a dead one.
    Given a budget fleet of a0 a1 b0 and an account of rate 1000 and burst 2000
    When budget VM "a1" crashes
    And 5000 ms pass for the budget fleet
    Then data centre "a" uses less than its share in the ledger
    When 20000 ms pass for the budget fleet
    Then budget VM "a1" holds no share in the ledger
    And data centre "a" uses all of its share in the ledger

  Scenario: no other data centre takes over shares from one whose VMs all died
    Given a budget fleet of a0 a1 b0 and an account of rate 1000 and burst 2000
    When budget VM "b0" crashes
    And 60000 ms pass for the budget fleet
    Then budget VM "b0" still holds a share in the ledger

  Scenario: a VM that was paused past its lease reads the ledger before it spends again
    # While the VM is paused, its lease expires and a neighbour takes its shares over. After that
    # its first request waits for the ledger and is served from what remains; without the read,
    # both VMs would spend the same share.
    Given a budget fleet of a0 a1 and an account of rate 1000 and burst 2000
    When budget VM "a1" is paused for 30000 ms
    And 200 tokens are taken every 100 ms for 10000 ms at budget VMs "a0 a1"
    Then the budget fleet kept within rate and burst

  Scenario: a VM paused past its lease, with the platform unavailable, learns from its neighbour
    Given a budget fleet of a0 a1 and an account of rate 1000 and burst 2000
    When budget VM "a1" is paused for 30000 ms and resumes with the platform unavailable
    And 200 tokens are taken every 100 ms for 10000 ms at budget VMs "a0 a1"
    Then the budget fleet kept within rate and burst
    And the budget fleet served at least 9000 tokens

  Scenario: with the platform unavailable and no neighbour that responds, a VM stops
    # An isolated VM cannot tell whether a neighbour took its shares over. It refuses requests as
    # not run, so the caller may retry at another VM.
    Given a budget fleet of a0 a1 and an account of rate 1000 and burst 2000
    When the platform is unavailable for the budget fleet
    And budget VM "a1" crashes
    And 30000 ms pass for the budget fleet
    And budget VM "a0" takes 10 tokens
    Then the budget refuses it as "not_ready"

  Scenario Outline: a ledger write whose response is lost assigns no parts twice
    # The writer shrank its share before the write. It must not grow back on what it reads next,
    # as its write may still take effect later and assign these parts to another VM.
    Given a budget fleet of a0 b0 and an account of rate 1000 and burst 2000
    When the next ledger write of budget VM "a0" <fate>
    And 95 tokens are taken every 100 ms for 12000 ms at budget VM "b0"
    And delayed writes of budget VM "a0" take effect
    And 300 tokens are taken every 100 ms for 10000 ms at budget VMs "a0 b0"
    Then the budget fleet kept within rate and burst

    Examples:
      | fate                             |
      | loses its response               |
      | takes effect late                |
      | takes effect after it is cut off |

  Scenario Outline: messages between VMs are lost or duplicated
    Given a budget fleet of a0 a1 b0 b1 and an account of rate 1000 and burst 2000
    When peers of budget VM "a0" <fault>
    And 150 tokens are taken every 100 ms for 20000 ms at budget VMs "a0 b0"
    Then the budget fleet kept within rate and burst

    Examples:
      | fault                      |
      | lose their replies         |
      | receive its requests twice |

  Scenario: a lowered rate applies on every VM that has the change ticket
    Given a budget fleet of a0 a1 b0 and an account of rate 1000 and burst 2000
    When 150 tokens are taken every 100 ms for 3000 ms at budget VMs "a0 b0"
    And a change ticket sets the account to rate 100 and burst 200
    And 50 tokens are taken every 100 ms for 10000 ms at budget VMs "a0 a1 b0"
    Then since the change ticket the budget fleet kept within rate 100 and burst 200

  Scenario Outline: an account that a change ticket just added is served at its first request
    # The first request comes right after the ticket, before any round with the ledger. It must
    # wait for the round and never be refused as over its rate.
    Given a budget fleet of a0 a1 b0 and an account of rate 1000 and burst 2000
    When a change ticket adds budget account "fresh" and <platform>
    And budget VM "<vm>" takes 100 tokens of account "fresh"
    Then <outcome>

    Examples:
      | vm | platform                    | outcome                              |
      | a0 | the platform responds       | the budget admits it                 |
      | b0 | the platform responds       | the budget admits it                 |
      | a0 | the platform is unavailable | the budget refuses it as "not_ready" |

  Scenario: the task that reads the ledger crashes and is restarted
    # The VM received shares with tokens before. If the restarted task forgot that, it would
    # credit these tokens on its first read, and they would be spent a second time.
    Given a budget fleet of a0 b0 and an account of rate 10 and burst 2000
    When budget VM "b0" takes 990 tokens
    And 4 tokens are taken every 200 ms for 8000 ms at budget VM "b0"
    And budget VM "b0" takes 500 tokens
    And the budget task of VM "b0" crashes and is restarted
    And budget VM "b0" takes 1000 tokens
    Then the budget refuses it as "rate_limited"
    And the budget fleet kept within rate and burst

  Scenario: a VM whose shares are not confirmed lends nothing from them
    # A neighbour took over from the paused VM and died. The paused VM resumes with the platform
    # unavailable and no neighbour to ask; tokens that another data centre asks for may have been
    # spent already.
    Given a budget fleet of a0 a1 b0 and an account of rate 1000 and burst 2000
    When budget VM "a1" is paused for 30000 ms and resumes with the platform unavailable
    And budget VM "a0" crashes
    Then budget VM "a1" lends nothing when "b0" asks for 500 tokens

  Scenario: a VM that is cut off from the platform only keeps its shares
    # Its lease expires and it gets no promise, so it spends nothing. Its neighbour still receives
    # its heartbeats and does not take its shares over.
    Given a budget fleet of a0 a1 and an account of rate 1000 and burst 2000
    When the platform is unavailable for budget VM "a1" alone
    And peers of budget VM "a1" are unreachable
    And 40000 ms pass for the budget fleet
    Then budget VM "a1" still holds a share in the ledger

  Scenario: a VM whose neighbour promised not to take over keeps its shares
    # Its lease has expired and membership does not consider it live, but it got the promise.
    Given a budget fleet of a0 a1 and an account of rate 1000 and burst 2000
    When the platform is unavailable for budget VM "a1" alone
    And budget VM "a0" does not consider "a1" live
    And 300 tokens are taken every 100 ms for 30000 ms at budget VMs "a0 a1"
    Then budget VM "a1" still holds a share in the ledger
    And the budget fleet kept within rate and burst

  Scenario: shares of a dead VM are not taken over until its loans have expired
    Given a budget fleet of a0 a1 and an account of rate 1000 and burst 2000
    When budget VM "a1" crashes
    And 2000 ms pass after the lease of budget VM "a1" expired
    Then budget VM "a1" still holds a share in the ledger
    When 10000 ms pass for the budget fleet
    Then budget VM "a1" holds no share in the ledger

  Scenario: a holder that renews its lease just before a take-over keeps its shares
    Given a budget fleet of a0 a1 and an account of rate 1000 and burst 2000
    When budget VM "a1" renews its lease right before "a0" takes over
    Then budget VM "a1" still holds a share in the ledger

  Scenario: a VM that shuts down right after it lent waits for its loans
    # The lent tokens are still being spent elsewhere. If the share behind them were released at
    # once, its new holder would spend them once more.
    Given a budget fleet of a0 b0 and an account of rate 1000 and burst 2000
    When 95 tokens are taken every 50 ms for 1000 ms at budget VM "b0"
    And budget VM "a0" shuts down
    And 95 tokens are taken every 50 ms for 5000 ms at budget VM "b0"
    Then the budget fleet kept within rate and burst

  Scenario: a transfer of shares triggers no further transfers
    # Traffic moves between VMs all the time. A VM that receives a share reads the ledger at once;
    # if it also passed shares on at once, the fleet would call the platform without pause.
    Given a budget fleet of a0 a1 a2 b0 b1 b2 c0 c1 c2 and an account of rate 1000 and burst 2000
    When 27 tokens are taken every 30 ms for 12000 ms at one budget VM after another, moving between data centres
    Then each budget VM calls the platform at most 2.5 times a second in the last 12000 ms

  Scenario: a VM that shuts down returns its loans and releases its shares
    Given a budget fleet of a0 a1 b0 and an account of rate 1000 and burst 2000
    When 95 tokens are taken every 100 ms for 5000 ms at budget VM "a0"
    And budget VM "a0" shuts down
    Then budget VM "a0" holds no share in the ledger
    When 95 tokens are taken every 100 ms for 20000 ms at budget VM "b0"
    Then the budget refused 0 requests
    And the budget fleet kept within rate and burst
