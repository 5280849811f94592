Feature: all implementations of the platform port keep the same contract

  Scenario Outline: reads, compare-and-swap and prefix reads work
    Given platform "<impl>"
    When platform txn puts "a=1" if "a" is at 0
    Then the platform txn is done
    When platform txn puts "a=2, b=2" if "a" is at 0
    Then the platform txn is not done
    When platform txn puts "a=2, b=2" if "a" is unchanged
    Then the platform txn is done
    And platform keys under "" are "a=2, b=2"
    And platform keys under "" from "b" on are "b=2"
    And at most 1 platform key under "" is "a=2"
    When platform txn deletes "a" if "b" is unchanged
    Then platform keys under "" are "b=2"

    Examples:
      | impl   |
      | memory |
      | etcd   |
      | kv     |

  Scenario Outline: clients with different prefixes don't see each other's keys
    Given platform "<impl>"
    And a second platform client with prefix "/other/"
    When platform txn puts "a=1" if "a" is at 0
    Then the second platform client finds nothing

    Examples:
      | impl   |
      | memory |
      | etcd   |

  Scenario Outline: a lease removes its keys when it ends
    # The holder is paused until its lease has expired: the service removes the key, so another VM
    # may take it. The holder's next renewal and its next write under the lease are rejected.
    Given platform "<impl>"
    And a platform lease of 3000 ms with key "holder=me"
    When 2000 ms pass on the platform
    Then renewing the platform lease gives 3000 ms
    When 2000 ms pass on the platform
    Then platform keys under "" are "holder=me"
    When the platform lease ends by "<end>"
    Then platform keys under "" are ""
    And renewing the platform lease fails with "lease_lost"
    And writing under the platform lease fails with "lease_lost"

    Examples:
      | impl   | end           |
      | memory | time          |
      | memory | forced expiry |
      | memory | revoke        |
      | etcd   | time          |
      | etcd   | forced expiry |
      | etcd   | revoke        |
      | kv     | time          |
      | kv     | forced expiry |
      | kv     | revoke        |

  Scenario Outline: a fault of the service gives the same error with each implementation
    # The service is unavailable, or its response is lost after the write took effect, or before.
    # The client never retries a write with an unknown outcome: only the owner of the key can read
    # back whether it took effect. A read is simply retried.
    Given platform "<impl>"
    And platform txn puts "a=1" if "a" is at 0
    When the platform fault is "<fault>"
    Then a platform write of "a=2" ends with "<write>"
    When the platform fault is "<fault>"
    Then a platform read of "a" ends with "<read>"
    When the platform faults are over
    Then platform keys under "" are "<after>"
    And the platform saw <writes> writes

    Examples:
      | impl   | fault         | write            | read         | after | writes |
      | memory | none          | done             | done         | a=2   | 2      |
      | memory | outage        | platform_out     | platform_out | a=1   | 1      |
      | memory | lose response | platform_unknown | done         | a=2   | 2      |
      | memory | drop          | platform_unknown | platform_out | a=1   | 1      |
      | memory | slow          | done             | done         | a=2   | 2      |
      | memory | too large     | value_too_large  | done         | a=1   | 1      |
      | etcd   | none          | done             | done         | a=2   | 2      |
      | etcd   | outage        | platform_out     | platform_out | a=1   | 1      |
      | etcd   | unreachable   | platform_out     | platform_out | a=1   | 1      |
      | etcd   | lose response | platform_unknown | done         | a=2   | 2      |
      | etcd   | drop          | platform_unknown | done         | a=1   | 1      |
      | etcd   | slow          | done             | done         | a=2   | 2      |
      | etcd   | too large     | value_too_large  | done         | a=1   | 1      |
      | kv     | none          | done             | done         | a=2   | 2      |
      | kv     | outage        | platform_out     | platform_out | a=1   | 1      |
      | kv     | unreachable   | platform_out     | platform_out | a=1   | 1      |
      | kv     | lose response | platform_unknown | done         | a=2   | 2      |
      | kv     | drop          | platform_unknown | done         | a=1   | 1      |
      | kv     | slow          | done             | done         | a=2   | 2      |
      | kv     | too large     | value_too_large  | done         | a=1   | 1      |

  Scenario Outline: a watch yields every change after its revision, in order
    Given platform "<impl>"
    And platform txn puts "a=1" if "a" is at 0
    And a platform watch from now on
    When platform txn puts "a=2, b=2" if "a" is unchanged
    And platform txn deletes "a" if "b" is unchanged
    Then the platform watch yields "a=2 b=2; -a"
    And a platform watch from the start yields "a=1; a=2 b=2; -a"

    Examples:
      | impl   |
      | memory |
      | etcd   |
      | kv     |

  Scenario Outline: a watch from a compacted revision fails with its own error
    Given platform "<impl>"
    And platform txn puts "a=1" if "a" is at 0
    When the platform history is compacted
    Then a platform watch from the start fails with "watch_compacted"

    Examples:
      | impl   |
      | memory |
      | etcd   |
      | kv     |

  Scenario Outline: a stalled watch yields nothing, and a new one works
    # A device between client and service lost track of the connection, so neither an error nor a
    # change ever arrives on it. The client can't tell this from the watch alone; a new one works.
    Given platform "<impl>"
    And a platform watch from now on
    When the platform watches stall
    And platform txn puts "a=1" if "a" is at 0
    Then the platform watch yields nothing within 100 ms
    And a platform watch from the start yields "a=1"

    Examples:
      | impl   |
      | memory |
      | etcd   |
      | kv     |

  Scenario Outline: a watch ends with an error when the service becomes unavailable
    Given platform "<impl>"
    And a platform watch from now on
    When the platform fault is "outage"
    Then the platform watch fails with "platform_out"

    Examples:
      | impl   |
      | memory |
      | etcd   |
      | kv     |
