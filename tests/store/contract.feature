Feature: whatever stands behind the platform port keeps one contract

  Scenario Outline: reads, compare-and-swap and prefixes
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

  Scenario Outline: two clients with prefixes of their own never meet
    Given platform "<impl>"
    And a second platform client with prefix "/other/"
    When platform txn puts "a=1" if "a" is at 0
    Then the second platform client finds nothing

    Examples:
      | impl   |
      | memory |
      | etcd   |

  Scenario Outline: a lease takes its keys along when it ends
    # The holder is paused past its lease: the service removes the key, so another may take it;
    # the holder's next renewal and its next write under the lease are refused.
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
      | impl   | end    |
      | memory | time   |
      | memory | lapse  |
      | memory | revoke |
      | etcd   | time   |
      | etcd   | lapse  |
      | etcd   | revoke |
      | kv     | time   |
      | kv     | lapse  |
      | kv     | revoke |

  Scenario Outline: a fault of the service has one meaning for its caller
    # The service is out, or its answer is lost after the write took effect, or before. A write
    # whose outcome is open is never sent again by the client: only its owner can read back
    # what became of it. A read is simply sent again.
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
      | impl   | fault       | write            | read         | after | writes |
      | memory | none        | done             | done         | a=2   | 2      |
      | memory | out         | platform_out     | platform_out | a=1   | 1      |
      | memory | lose answer | platform_unknown | done         | a=2   | 2      |
      | memory | drop        | platform_unknown | platform_out | a=1   | 1      |
      | memory | slow        | done             | done         | a=2   | 2      |
      | memory | too large   | value_too_large  | done         | a=1   | 1      |
      | etcd   | none        | done             | done         | a=2   | 2      |
      | etcd   | out         | platform_out     | platform_out | a=1   | 1      |
      | etcd   | unreachable | platform_out     | platform_out | a=1   | 1      |
      | etcd   | lose answer | platform_unknown | done         | a=2   | 2      |
      | etcd   | drop        | platform_unknown | done         | a=1   | 1      |
      | etcd   | slow        | done             | done         | a=2   | 2      |
      | etcd   | too large   | value_too_large  | done         | a=1   | 1      |
      | kv     | none        | done             | done         | a=2   | 2      |
      | kv     | out         | platform_out     | platform_out | a=1   | 1      |
      | kv     | unreachable | platform_out     | platform_out | a=1   | 1      |
      | kv     | lose answer | platform_unknown | done         | a=2   | 2      |
      | kv     | drop        | platform_unknown | done         | a=1   | 1      |
      | kv     | slow        | done             | done         | a=2   | 2      |
      | kv     | too large   | value_too_large  | done         | a=1   | 1      |

  Scenario Outline: a watch tells every change after its revision, in order
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

  Scenario Outline: a watch from a compacted revision says so
    Given platform "<impl>"
    And platform txn puts "a=1" if "a" is at 0
    When the platform history is compacted
    Then a platform watch from the start fails with "watch_compacted"

    Examples:
      | impl   |
      | memory |
      | etcd   |
      | kv     |

  Scenario Outline: a silent watch says nothing, while a new one works
    # Something between the two ends lost track of the connection: no error and no change
    # arrives on it for good. The reader can't tell from the watch alone; a new one works.
    Given platform "<impl>"
    And a platform watch from now on
    When the platform watches go silent
    And platform txn puts "a=1" if "a" is at 0
    Then the platform watch yields nothing within 100 ms
    And a platform watch from the start yields "a=1"

    Examples:
      | impl   |
      | memory |
      | etcd   |
      | kv     |

  Scenario Outline: a watch breaks with an error when the service goes out
    Given platform "<impl>"
    And a platform watch from now on
    When the platform fault is "out"
    Then the platform watch fails with "platform_out"

    Examples:
      | impl   |
      | memory |
      | etcd   |
      | kv     |
