Feature: a call with an idempotency key runs at most once, whatever its caller is told

  Scenario Outline: the first attempt ends, and the caller sends the call again
    # The first attempt's answer never reached the caller, who tries again at the same VM. It
    # is run again only when the first was surely not run, and says so only then.
    Given once VMs "a b"
    And once VM "a" dispatch "<plan>"
    When a booking with <key> key "k" is sent to once VM "a"
    And once VM "a" dispatch "answers"
    And the booking with key "k" is sent again to once VM "a"
    Then the second booking is told "<told>"
    And bookings ran <times> times

    Examples:
      | key    | plan              | told                 | times |
      | issued | answers           | 201                  | 1     |
      | issued | answers at length | idempotency_finished | 1     |
      | issued | refuses           | 201                  | 1     |
      | issued | falls silent      | backend_unknown      | 1     |
      | issued | breaks            | backend_unknown      | 1     |
      | issued | ends early        | backend_unknown      | 1     |
      | chosen | answers           | 201                  | 1     |
      | chosen | answers at length | idempotency_finished | 1     |
      | chosen | refuses           | 201                  | 1     |
      | chosen | falls silent      | backend_unknown      | 1     |
      | chosen | breaks            | backend_unknown      | 1     |

  Scenario Outline: the call is sent again through another VM
    # As above, but the second attempt comes in elsewhere: an issued key leads it to the VM
    # that ran the first, a chosen one to the claim in the platform.
    Given once VMs "a b"
    And once VM "a" dispatch "<plan>"
    When a booking with <key> key "k" is sent to once VM "a"
    And once VM "a" dispatch "answers"
    And the booking with key "k" is sent again to once VM "b"
    Then the second booking is told "<told>"
    And bookings ran <times> times

    Examples:
      | key    | plan         | told                 | times |
      | issued | answers      | 201                  | 1     |
      | issued | waits        | idempotency_running  | 1     |
      | issued | refuses      | 201                  | 1     |
      | issued | falls silent | backend_unknown      | 1     |
      | chosen | answers      | idempotency_finished | 1     |
      | chosen | waits        | idempotency_running  | 1     |
      | chosen | refuses      | 201                  | 1     |
      | chosen | falls silent | backend_unknown      | 1     |

  Scenario Outline: the VM that ran the call dies, and the caller asks another
    # The caller's connection breaks. What the dead VM knew is lost: unless the outcome was
    # written before, the second attempt is told that the first may have run.
    Given once VMs "a b"
    And once VM "a" dispatch "<plan>"
    When a booking with <key> key "k" is sent to once VM "a"
    And once VM "a" dies
    And the booking with key "k" is sent again to once VM "b"
    Then the second booking is told "<told>"
    And the second booking's answer says that it may have run
    And bookings ran <times> times

    Examples:
      | key    | plan    | told                 | times |
      | issued | waits   | idempotency_lost     | 1     |
      | issued | answers | idempotency_lost     | 1     |
      | chosen | waits   | idempotency_lost     | 1     |
      | chosen | answers | idempotency_finished | 1     |

  Scenario: the VM dies before it ran the call, its key never used
    Given once VMs "a b"
    When a booking with issued key "k" is drawn from once VM "a" and sent nowhere
    And once VM "a" dies
    And the booking with key "k" is sent again to once VM "b"
    Then the second booking is told "idempotency_lost"
    And bookings ran 0 times

  Scenario: a restarted VM refuses the keys of its former incarnation
    # A restart has forgotten which keys were used; the key names the incarnation, so the new
    # one does not take it for its own.
    Given once VMs "a b"
    When a booking with issued key "k" is sent to once VM "a"
    And once VM "a" restarts
    And the booking with key "k" is sent again to once VM "a"
    Then the second booking is told "idempotency_lost"
    And bookings ran 1 times

  Scenario Outline: the caller's connection breaks while the call runs
    # A booking runs to its end, and the retry gets its answer. A call that may be repeated is
    # cancelled at the backend server, since nobody waits for it.
    Given once VMs "a b"
    And once VM "a" dispatch "waits"
    When a <sort> with issued key "k" is sent to once VM "a"
    And the first caller vanishes
    And once VM "a" goes on
    And the booking with key "k" is sent again to once VM "b"
    Then the second booking is told "<told>"
    And bookings ran 1 times

    Examples:
      | sort            | told            |
      | booking         | 201             |
      | repeatable call | backend_unknown |

  Scenario: the answer is lost between two VMs
    # The call ran at its key's issuer; the entry VM lost the answer and says "unknown". The
    # retry is answered from what the issuer kept.
    Given once VMs "a b"
    And answers to once VM "b" from other VMs are lost
    When a booking with issued key "k" is drawn from once VM "a" and sent to once VM "b"
    Then the first booking is told "peer_unreachable"
    And the first booking's answer says that it may have run
    When answers to once VM "b" from other VMs arrive
    And the booking with key "k" is sent again to once VM "b"
    Then the second booking is told "201"
    And bookings ran 1 times

  Scenario Outline: the platform answers a claim late, or not at all
    # The claim is written before the call runs. Its answer lost, it is read back; out of
    # reach, the call is refused as not run and the caller is pointed to issued keys.
    Given once VMs "a b"
    And the platform "<fault>" for once VM "a"
    When a booking with chosen key "k" is sent to once VM "a"
    Then the first booking is told "<first>"
    And bookings ran <ran> times
    When the platform answers once VM "a" again
    And the booking with key "k" is sent again to once VM "<again>"
    Then the second booking is told "<second>"
    And bookings ran 1 times

    Examples:
      | fault             | first        | ran | again | second               |
      | loses the answer  | 201          | 1   | b     | idempotency_finished |
      | delays the write  | 201          | 1   | b     | idempotency_finished |
      | is out            | platform_out | 0   | a     | 201                  |
      | is out            | platform_out | 0   | b     | 201                  |

  Scenario: with the platform out, issued keys still work
    Given once VMs "a b"
    And the platform "is out" for once VM "a"
    When a booking with issued key "k" is sent to once VM "a"
    Then the first booking is told "201"

  Scenario: two VMs get the same chosen key at the same time
    Given once VMs "a b"
    And once VM "a" dispatch "waits"
    And once VM "b" dispatch "waits"
    When a booking with chosen key "k" is sent to once VMs "a b" at the same time
    Then bookings ran 1 times
    And one of the bookings is told "idempotency_running"

  Scenario Outline: a key is used for something else
    Given once VMs "a b"
    When a booking with <key> key "k" is sent to once VM "a"
    And a booking of something else with key "k" is sent to once VM "<second>"
    Then the second booking is told "idempotency_mismatch"
    And bookings ran 1 times

    Examples:
      | key    | second |
      | issued | a      |
      | issued | b      |
      | chosen | a      |
      | chosen | b      |

  Scenario: the same chosen key of another account is another key
    Given once VMs "a b"
    When a booking with chosen key "k" is sent to once VM "a"
    And a booking of account "kept" with key "k" is sent to once VM "b"
    Then the second booking is told "201"
    And bookings ran 2 times

  Scenario Outline: keys that were not issued to this account are refused
    Given once VMs "a b"
    When a booking with issued key "k" is drawn from once VM "a" and sent nowhere
    And a booking of account "kept" with key "<key>" is sent to once VM "a"
    Then the second booking is told "<told>"
    And bookings ran 0 times

    Examples:
      | key                          | told                |
      | k                            | idempotency_invalid |
      | hb1~a~1~ffffffff~00~00       | idempotency_invalid |
      | hb1~a                        | idempotency_invalid |
      | hb1~a~1~zz~00~00             | idempotency_invalid |

  Scenario: an issued key has run out
    Given once VMs "a b"
    When a booking with issued key "k" is drawn from once VM "a" and sent nowhere
    And 600000 ms pass for the once VMs
    And the booking with key "k" is sent again to once VM "a"
    Then the second booking is told "idempotency_expired"

  Scenario: a call is not forwarded to an issuer in a region that its residency rule forbids
    Given once VM "a" in region "thies-nord"
    And once VM "b" in region "dakar-plateau"
    When a booking of account "kept" with a key issued by once VM "a" is sent to once VM "b"
    Then the second booking is told "residency"
    And bookings ran 0 times

  Scenario: a call that was forwarded once goes to no third VM
    Given once VMs "a b"
    When a booking with issued key "k" is drawn from once VM "a" and sent nowhere
    And the booking with key "k" is forwarded by a peer to once VM "b"
    Then the second booking is told "hop_limit"

  Scenario: a VM that stood still after its claim does not run the call
    # Its claim may have lapsed meanwhile, and another VM may have run the call.
    Given once VMs "a b"
    When a booking with chosen key "k" is sent to once VM "a", which stands for 61000 ms
    Then the first booking is told "deadline"
    And bookings ran 0 times

  Scenario: nothing of a request or its answer reaches the platform
    Given once VMs "a b"
    When a booking with chosen key "k" is sent to once VM "a"
    Then no value or key in the platform holds "wheel", "booked" or "k-chosen"
