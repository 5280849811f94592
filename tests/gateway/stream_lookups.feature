Feature: which version began a stream that its VM does not know

  Scenario Outline: a stream that nobody knows is refused at once while two versions serve
    Given a gateway of VMs "n1@north-1, n2@north-1, s1@south-1"
    And model servers "m1:v1@north-1, m2:v2@north-1, m9:v1@south-1"
    When callers take up 4 streams that <what> at "n1"
    Then each caller is refused within 500 ms and told when to come back
    And servers of "model" executed 0 requests

    Examples:
      | what                           |
      | no VM has served               |
      | they do not name the request of |

  # Guards against a VM that has just started and does not believe those that know what was before.
  Scenario: a stream that nobody knows goes on at a VM that has just started
    Given a gateway of VMs "n1@north-1, n2@north-1"
    And model servers "m1:v1@north-1"
    And all VMs have run for 5 s
    When VM "n2" crashes and comes back
    And callers take up 4 streams that no VM has served at "n2"
    Then each stream goes on to its end at version "v1"

  # Guards against the store's word going before that of a VM which knows the stream.
  Scenario Outline: near VMs that answer late are waited for before the store's word counts
    Given a gateway of VMs "n1@north-1, n2@north-1, n3@north-1"
    And model servers "m1:v1@north-1"
    When 4 streams from "n3" break off
    And model servers "m2:v2@north-1" join
    And model servers "m1" leave
    And VM "n1" has known of version "v2" only
    And VM "n2" has known of version "v2" only
    And VM "n3" answers questions of streams 30 ms late
    And their callers take them up at "n1" in turn, and name <named>
    Then no caller got a stream of two versions

    Examples:
      | named |
      | them  |
      | none  |

  # Guards against a version of a service to which the route did not lead when the stream began.
  Scenario Outline: a stream that nobody knows is refused after its route has led to another service
    Given a gateway of VMs "n1@north-1, n2@north-1, s1@south-1"
    And model servers "m1:v1@north-1, m9:v1@south-1"
    And all VMs have run for 5 s
    When <what> the route of streams leads to service "other" with server "o1:v7@north-1"
    And callers take up 4 streams that they do not name the request of at "n1"
    Then each caller is refused within 500 ms and told when to come back
    And servers of "model" executed 0 requests

    Examples:
      | what                       |
      | for all VMs                |
      | for all VMs but "n1"       |

  # Guards against a VM that reports, knows another version, and is not known to those that vouch.
  Scenario: a stream that nobody knows is refused without the store where an unknown VM reports
    Given a gateway of VMs "n1@north-1, n2@north-1, n3@north-1"
    And model servers "m1:v1@north-1"
    And all VMs have run for 5 s
    When the store answers nothing any more and every VM has noticed
    And "n1" does not know "n3"
    And callers take up 4 streams that no VM has served at "n1"
    Then each caller is refused within 500 ms and told when to come back
    And servers of "model" executed 0 requests

  # Guards against waiting for answers that can't tell a stream which its caller doesn't name.
  Scenario: a stream that its caller does not name is refused without waiting for silent VMs
    Given a gateway with links of VMs "n1@north-1, n2@north-1, s1@south-1"
    And model servers "m1:v1@north-1, m2:v2@north-1, m9:v1@south-1"
    When VMs "s1" lose the store and other VMs in silence
    And callers take up 4 streams that they do not name the request of at "n1"
    Then each caller is refused within 150 ms and told when to come back
    And servers of "model" executed 0 requests

  # Each of the southern VMs has been told of some of the streams.
  Scenario: a stream goes on at a VM that has to ask which version began it
    Given a gateway of VMs "n1@north-1, s1@south-1, s2@south-1"
    And model servers "m1:v1@north-1, m8:v1@south-1, m9:v2@south-1"
    And model servers stream for 2.4 s
    When 8 streams from "n1" have run for 1.2 s
    And VM "n1" and all northern VMs crash
    And their callers take them up at "s1, s2" in turn
    Then each stream goes on to its end at version "v1"

  # Guards against a stream that is refused though only one version could have begun it.
  Scenario Outline: a stream that nobody knows goes on while the service has had one version only
    Given a gateway of VMs "n1@north-1, n2@north-1, s1@south-1"
    And model servers "m1:v1@north-1, m2:v1@north-1, m9:v1@south-1"
    And all VMs have run for 5 s
    When callers take up 4 streams that <what> at "n1"
    Then each stream goes on to its end at version "v1"

    Examples:
      | what                            |
      | no VM has served                |
      | they do not name the request of |

  # Guards against a VM that is cut off from those that know of another version.
  Scenario: a stream that a VM doesn't know is refused while it hears no other VM
    Given a gateway of VMs "n1@north-1, n2@north-1"
    And model servers "m1:v1@north-1"
    And all VMs have run for 5 s
    When VM "n2" has crashed and is no longer live for "n1"
    And callers take up 4 streams that no VM has served at "n1"
    Then each caller is refused within 500 ms and told when to come back
    And servers of "model" executed 0 requests

  Scenario: a stream that nobody knows is refused after a version has gone
    Given a gateway of VMs "n1@north-1, n2@north-1, s1@south-1"
    And model servers "m1:v1@north-1, m2:v2@north-1"
    And all VMs have run for 5 s
    When model servers "m1" leave
    And callers take up 4 streams that no VM has served at "n2"
    Then each caller is refused within 500 ms and told when to come back
    And servers of "model" executed 0 requests

  Scenario: a stream that nobody knows is refused while its VMs have just started
    Given a gateway of VMs "n1@north-1, n2@north-1"
    And model servers "m1:v1@north-1"
    When callers take up 4 streams that no VM has served at "n1"
    Then each caller is refused within 500 ms and told when to come back
    And servers of "model" executed 0 requests

  # Guards against a version that only a VM which does not answer has heard of.
  Scenario: a stream that nobody knows is refused while the store is away and a VM is silent
    Given a gateway of VMs "n1@north-1, n2@north-1, n3@north-1"
    And model servers "m1:v1@north-1"
    And all VMs have run for 5 s
    When the store answers nothing any more and every VM has noticed
    And VM "n3" has crashed and is no longer live for "n1"
    And callers take up 4 streams that no VM has served at "n1"
    Then each caller is refused within 500 ms and told when to come back
    And servers of "model" executed 0 requests

  # Guards against refusing what every VM vouches for: a version nobody heard of began no stream.
  Scenario: a stream that nobody knows goes on while the store is away and each VM knows one version
    Given a gateway of VMs "n1@north-1, n2@north-1, s1@south-1"
    And model servers "m1:v1@north-1, m9:v1@south-1"
    And all VMs have run for 5 s
    When the store answers nothing any more and every VM has noticed
    And callers take up 4 streams that no VM has served at "n1"
    Then each stream goes on to its end at version "v1"

  # Guards against a VM that knows too little of its servers to have missed another version.
  Scenario: a stream that nobody knows is refused while the store is away and a VM has just started
    Given a gateway of VMs "n1@north-1, n2@north-1"
    And model servers "m1:v1@north-1"
    And all VMs have run for 5 s
    When VM "n2" crashes and comes back
    And the store answers nothing any more
    And callers take up 4 streams that no VM has served at "n1"
    Then each caller is refused within 500 ms and told when to come back
    And servers of "model" executed 0 requests

  # Guards against a VM that asks others which know only one of the versions.
  Scenario: a stream that its VM knows by two versions is refused at once
    Given a gateway of VMs "n1@north-1, n2@north-1, s1@south-1"
    And model servers "m1:v1@north-1, m9:v1@south-1"
    When 4 streams from "n1" break off
    And model servers "m2:v2@north-1" join
    And "n1" is told that they began at version "v2"
    And their callers take them up at "n1"
    Then each caller is refused within 500 ms and told when to come back
    And no stream ran at two versions

  # Guards against a VM of an earlier release, which forwards a stream without its version.
  Scenario: a forwarded stream that brings no version is refused as not run
    Given a gateway of VMs "n1@north-1, s1@south-1"
    And model servers "m1:v1@north-1, m2:v2@north-1"
    When the peers' port of "n1" gets a forwarded stream that goes on after event 3
    Then the response marks it as "not-asked"
    And servers of "model" executed 0 requests
