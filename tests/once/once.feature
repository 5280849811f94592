Feature: a call with an idempotency key runs at most once, whatever response its caller gets

  Scenario Outline: the first attempt ends, and the caller retries
    # The response to the first attempt never reached the caller, who retries at the same VM. The
    # call must run again only if the first attempt surely did not run, and only then be reported
    # as not run.
    Given idempotency VMs "a b"
    And dispatch of idempotency VM "a" "<plan>"
    When a booking with <key> key "k" is sent to idempotency VM "a"
    And dispatch of idempotency VM "a" "responds"
    And the booking with key "k" is retried at idempotency VM "a"
    Then the second booking gets "<response>"
    And bookings ran <times> times

    Examples:
      | key    | plan                  | response             | times |
      | issued | responds              | 201                  | 1     |
      | issued | sends a long response | idempotency_finished | 1     |
      | issued | refuses               | 201                  | 1     |
      | issued | falls silent          | backend_unknown      | 1     |
      | issued | breaks                | backend_unknown      | 1     |
      | issued | ends early            | backend_unknown      | 1     |
      | chosen | responds              | 201                  | 1     |
      | chosen | sends a long response | idempotency_finished | 1     |
      | chosen | refuses               | 201                  | 1     |
      | chosen | falls silent          | backend_unknown      | 1     |
      | chosen | breaks                | backend_unknown      | 1     |

  Scenario Outline: the caller retries through another VM
    # As above, but the second attempt arrives at another VM. An issued key leads it to the VM that
    # ran the first, a chosen key to the claim at the platform.
    Given idempotency VMs "a b"
    And dispatch of idempotency VM "a" "<plan>"
    When a booking with <key> key "k" is sent to idempotency VM "a"
    And dispatch of idempotency VM "a" "responds"
    And the booking with key "k" is retried at idempotency VM "b"
    Then the second booking gets "<response>"
    And bookings ran <times> times

    Examples:
      | key    | plan         | response             | times |
      | issued | responds     | 201                  | 1     |
      | issued | waits        | idempotency_running  | 1     |
      | issued | refuses      | 201                  | 1     |
      | issued | falls silent | backend_unknown      | 1     |
      | chosen | responds     | idempotency_finished | 1     |
      | chosen | waits        | idempotency_running  | 1     |
      | chosen | refuses      | 201                  | 1     |
      | chosen | falls silent | backend_unknown      | 1     |

  Scenario Outline: the VM that ran the call dies, and the caller retries at another
    # The caller's connection breaks and the dead VM's state is lost. Unless the outcome was written
    # before, the second attempt must be refused with the statement that the first may have run.
    Given idempotency VMs "a b"
    And dispatch of idempotency VM "a" "<plan>"
    When a booking with <key> key "k" is sent to idempotency VM "a"
    And idempotency VM "a" dies
    And the booking with key "k" is retried at idempotency VM "b"
    Then the second booking gets "<response>"
    And the second booking's error says that it may have run
    And bookings ran <times> times

    Examples:
      | key    | plan     | response             | times |
      | issued | waits    | idempotency_lost     | 1     |
      | issued | responds | idempotency_lost     | 1     |
      | chosen | waits    | idempotency_lost     | 1     |
      | chosen | responds | idempotency_finished | 1     |

  Scenario: the VM dies before its issued key is used
    Given idempotency VMs "a b"
    When idempotency VM "a" issues key "k" for a booking not yet sent
    And idempotency VM "a" dies
    And the booking with key "k" is retried at idempotency VM "b"
    Then the second booking gets "idempotency_lost"
    And bookings ran 0 times

  Scenario: a restarted VM refuses the keys of its previous incarnation
    # A restarted VM does not know which keys were used. The key names the incarnation, so the new
    # one must not accept it as its own.
    Given idempotency VMs "a b"
    When a booking with issued key "k" is sent to idempotency VM "a"
    And idempotency VM "a" restarts
    And the booking with key "k" is retried at idempotency VM "a"
    Then the second booking gets "idempotency_lost"
    And bookings ran 1 times

  Scenario Outline: the caller's connection breaks while the call runs
    # A booking runs to its end, and the retry gets its response. An idempotent call is cancelled
    # at the backend server, since nobody waits for its response.
    Given idempotency VMs "a b"
    And dispatch of idempotency VM "a" "waits"
    When <sort> with issued key "k" is sent to idempotency VM "a"
    And the first caller disconnects
    And idempotency VM "a" continues
    And the booking with key "k" is retried at idempotency VM "b"
    Then the second booking gets "<response>"
    And bookings ran 1 times

    Examples:
      | sort               | response        |
      | a booking          | 201             |
      | an idempotent call | backend_unknown |

  Scenario: the response is lost between two VMs
    # The call ran at its key's issuer; the VM that the caller used lost the response and reports
    # that the call may have run. The retry gets the response that the issuer stored.
    Given idempotency VMs "a b"
    And responses from other VMs to idempotency VM "b" are lost
    When idempotency VM "a" issues key "k" for a booking sent to idempotency VM "b"
    Then the first booking gets "peer_unreachable"
    And the first booking's error says that it may have run
    When responses from other VMs to idempotency VM "b" arrive
    And the booking with key "k" is retried at idempotency VM "b"
    Then the second booking gets "201"
    And bookings ran 1 times

  Scenario Outline: the platform responds to a claim late, or not at all
    # The claim is written before the call runs. If the response is lost, the claim is read back;
    # if the platform is unavailable, the call is refused as not run, with a hint to issued keys.
    Given idempotency VMs "a b"
    And the platform "<fault>" for idempotency VM "a"
    When a booking with chosen key "k" is sent to idempotency VM "a"
    Then the first booking gets "<first>"
    And bookings ran <ran> times
    When the platform is available to idempotency VM "a" again
    And the booking with key "k" is retried at idempotency VM "<again>"
    Then the second booking gets "<second>"
    And bookings ran 1 times

    Examples:
      | fault              | first        | ran | again | second               |
      | loses the response | 201          | 1   | b     | idempotency_finished |
      | delays the write   | 201          | 1   | b     | idempotency_finished |
      | is unavailable     | platform_out | 0   | a     | 201                  |
      | is unavailable     | platform_out | 0   | b     | 201                  |

  Scenario: with the platform unavailable, issued keys still work
    Given idempotency VMs "a b"
    And the platform "is unavailable" for idempotency VM "a"
    When a booking with issued key "k" is sent to idempotency VM "a"
    Then the first booking gets "201"

  Scenario: two VMs get the same chosen key at the same time
    Given idempotency VMs "a b"
    And dispatch of idempotency VM "a" "waits"
    And dispatch of idempotency VM "b" "waits"
    When a booking with chosen key "k" is sent to idempotency VMs "a b" at the same time
    Then bookings ran 1 times
    And one of the bookings gets "idempotency_running"

  Scenario Outline: a key is used again for another call
    Given idempotency VMs "a b"
    When a booking with <key> key "k" is sent to idempotency VM "a"
    And a different booking with key "k" is sent to idempotency VM "<second>"
    Then the second booking gets "idempotency_mismatch"
    And bookings ran 1 times

    Examples:
      | key    | second |
      | issued | a      |
      | issued | b      |
      | chosen | a      |
      | chosen | b      |

  Scenario: the same chosen key of another account is another key
    Given idempotency VMs "a b"
    When a booking with chosen key "k" is sent to idempotency VM "a"
    And a booking of account "kept" with key "k" is sent to idempotency VM "b"
    Then the second booking gets "201"
    And bookings ran 2 times

  Scenario Outline: keys that were not issued to this account are refused
    Given idempotency VMs "a b"
    When idempotency VM "a" issues key "k" for a booking not yet sent
    And a booking of account "kept" with key "<key>" is sent to idempotency VM "a"
    Then the second booking gets "<response>"
    And bookings ran 0 times

    Examples:
      | key                    | response            |
      | k                      | idempotency_invalid |
      | hb1~a~1~ffffffff~00~00 | idempotency_invalid |
      | hb1~a                  | idempotency_invalid |
      | hb1~a~1~zz~00~00       | idempotency_invalid |

  Scenario: an issued key has expired
    Given idempotency VMs "a b"
    When idempotency VM "a" issues key "k" for a booking not yet sent
    And 600000 ms pass for the idempotency VMs
    And the booking with key "k" is retried at idempotency VM "a"
    Then the second booking gets "idempotency_expired"

  Scenario: a call is not forwarded to an issuer in a region that its residency rule forbids
    Given idempotency VM "a" in region "thies-nord"
    And idempotency VM "b" in region "dakar-plateau"
    When a booking of account "kept" with a key issued by idempotency VM "a" is sent to idempotency VM "b"
    Then the second booking gets "residency"
    And bookings ran 0 times

  Scenario: a call that was forwarded once goes to no third VM
    Given idempotency VMs "a b"
    When idempotency VM "a" issues key "k" for a booking not yet sent
    And the booking with key "k" is forwarded by a peer to idempotency VM "b"
    Then the second booking gets "hop_limit"

  Scenario: a VM that was paused after its claim does not run the call
    # Its claim may have expired meanwhile, and another VM may have run the call.
    Given idempotency VMs "a b"
    When a booking with chosen key "k" is sent to idempotency VM "a", which is paused for 61000 ms
    Then the first booking gets "deadline"
    And bookings ran 0 times

  Scenario: no content of a request or its response is stored at the platform
    Given idempotency VMs "a b"
    When a booking with chosen key "k" is sent to idempotency VM "a"
    Then no value or key in the platform holds "wheel", "booked" or "k-chosen"
