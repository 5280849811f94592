Feature: a stream goes on only at the version of the servers' software that began it

  # Guards against a caller that takes its stream up and gets events of another version.
  Scenario Outline: a stream that its caller takes up goes on at its version
    Given a gateway of VMs "n1@north-1, n2@north-1, t1@north-2, s1@south-1"
    And model servers "m1:v1@north-1, m9:v1@south-1"
    When 8 streams from "n1" break off
    And model servers "m2:v2@north-1, m3:v2@north-1, m4:v2@north-1, m8:v2@south-1" join
    And their callers take them up at "<vm>"
    Then each stream goes on to its end at version "v1"

    Examples:
      | vm |
      | n1 |
      | n2 |
      | t1 |
      | s1 |

  Scenario: a stream goes on in another region if only that one has servers of its version
    Given a gateway of VMs "n1@north-1, n2@north-1, s1@south-1"
    And model servers "m1:v1@north-1, m9:v1@south-1"
    When 4 streams from "n1" break off
    And model servers "m2:v2@north-1, m8:v2@south-1" join
    And model servers "m1" leave
    And their callers take them up at "n2"
    Then each stream goes on to its end at version "v1"

  # Guards against a guess, and against callers that wait for servers that will not come.
  Scenario Outline: a stream is refused at once if no server of its version is left
    Given a gateway of VMs "n1@north-1, n2@north-1, s1@south-1"
    And model servers "m1:v1@north-1, m9:v1@south-1"
    When 4 streams from "n1" break off
    And model servers "m2:v2@north-1, m8:v2@south-1" join
    And model servers "m1, m9" leave
    And their callers take them up at "<vm>"
    Then each caller is refused within 500 ms and told when to come back
    And no stream ran at two versions

    Examples:
      | vm |
      | n1 |
      | n2 |
      | s1 |

  # Guards against one answer with events of two versions.
  Scenario Outline: a stream that goes on inside one answer keeps its version
    Given a gateway of VMs "n1@north-1, n2@north-1, s1@south-1, s2@south-1"
    And model servers "<servers>"
    When 10 streams from "n1" run while servers break off every second one
    Then no stream ran at two versions
    And at least <whole> streams are whole

    Examples:
      | servers                                                    | whole |
      | m1:v1@north-1, m2:v2@north-1                               | 5     |
      | m1:v1@north-1, m2:v1@north-1, m3:v2@north-1, m4:v2@north-1 | 10    |
      | m1:v1@north-1, m2:v2@north-1, m8:v1@south-1, m9:v2@south-1 | 10    |
      | m6:v1@south-1, m7:v1@south-1, m8:v2@south-1, m9:v2@south-1 | 10    |
      | m8:v1@south-1, m9:v2@south-1                               | 5     |

  # Guards against the version being known only to the VM that served the stream.
  Scenario Outline: a stream goes on at its version after its VM <event>
    Given a gateway of VMs "n1@north-1, n2@north-1, n3@north-1, t1@north-2, s1@south-1"
    And model servers "m1:v1@north-1, m9:v1@south-1"
    And model servers stream for <length> s
    When 8 streams from "n1" have run for <run> s
    And model servers "m2:v2@north-1, m3:v2@north-1, m8:v2@south-1" join
    And VM "n1" <event>
    And their callers take them up at "<vm>"
    Then each stream goes on to its end at version "v1"

    Examples:
      | event             | vm | length | run |
      | crashes           | n2 | 1.2    | 0.4 |
      | crashes           | t1 | 2.4    | 1.2 |
      | crashes           | s1 | 2.4    | 1.2 |
      | crashes and comes back | n1 | 1.2 | 0.4 |
      | and all northern VMs crash | s1 | 2.4 | 1.2 |
      | is stopped        | n3 | 3.2    | 0.4 |

  Scenario: a stream goes on at its version while the store is away
    Given a gateway of VMs "n1@north-1, n2@north-1, s1@south-1"
    And model servers "m1:v1@north-1, m2:v2@north-1, m3:v2@north-1, m9:v1@south-1"
    When the store answers nothing any more
    And 8 streams from "n1" break off
    And their callers take them up at "n2"
    Then each stream goes on to its end at its version

  Scenario: a stream that is taken up twice keeps its version
    Given a gateway of VMs "n1@north-1, n2@north-1, s1@south-1"
    And model servers "m1:v1@north-1, m9:v1@south-1"
    When 8 streams from "n1" break off
    And model servers "m2:v2@north-1, m3:v2@north-1, m8:v2@south-1" join
    And their callers take them up at "n2" and they break off again
    And their callers take them up at "s1"
    Then each stream goes on to its end at version "v1"

  Scenario: a placement coordinator grants a stream only servers of its version
    Given a gateway of VMs "n1@north-1, n2@north-1, n3@north-1, n4@north-1, n5@north-1, n6@north-1"
    And model servers "m1:v1@north-1"
    And one VM coordinates the placement of service "model"
    And prompts have parts
    When 8 streams from "n1" break off
    And model servers "m2:v2@north-1, m3:v2@north-1, m4:v2@north-1" join
    And their callers take them up at each VM in turn
    Then each stream goes on to its end at version "v1"
    And the coordinator has granted servers of version "v1" only

  # Guards against a version that is taken from an earlier start of the server.
  Scenario: a server that starts again with another version is none of the stream's
    Given a gateway of VMs "n1@north-1, n2@north-1"
    And model servers "m1:v1@north-1"
    When 4 streams from "n1" break off
    And model server "m1" starts again with version "v2"
    And their callers take them up at "n2"
    Then each caller is refused within 500 ms and told when to come back
    And no stream ran at two versions

  # Guards against a version that gets no new streams.
  Scenario: new streams begin at all versions
    Given a gateway of VMs "n1@north-1, n2@north-1"
    And model servers "m1:v1@north-1, m2:v2@north-1"
    When 40 streams from "n1" run
    Then at least 8 streams ran at each version of "v1, v2"
    And at least 40 streams are whole

  # Guards against memory that one version wrote and another one reads.
  Scenario: shared parts are copied from servers of the same version only
    Given a gateway of VMs "n1@north-1, s1@south-1"
    And model servers "m1:v1@north-1, m9:v2@south-1"
    When a caller of "small" sends "n1" a prompt of parts "5c1e:3000,91bd:20"
    And the VMs have exchanged status reports
    And a caller of "small" sends "s1" a prompt of parts "5c1e:3000,e440:20"
    Then server "m9" got no address to copy from

  Scenario: a stream is not forwarded where only some regions have servers of its version
    Given a gateway of VMs "n1@north-1, s1@south-1"
    And model servers "m1:v1@north-1, m9:v2@south-1"
    When 10 streams from "n1" run while servers break off every second one
    Then no stream ran at two versions
    And "s1" has refused nothing

  # Guards against a VM of an earlier release, which reads no versions.
  Scenario: nothing is passed on from a VM of another region that ignores the version
    Given a gateway of VMs "n1@north-1, s1@south-1"
    And model servers "m9:v1@south-1"
    When 4 streams from "n1" break off
    And model servers "m8:v2@south-1" join
    And VM "s1" ignores the versions of forwarded requests
    And their callers take them up at "n1"
    Then no caller got events of two versions

  Scenario: a placement coordinator that ignores the version is not relied on
    Given a gateway of VMs "n1@north-1, n2@north-1, n3@north-1, n4@north-1, n5@north-1, n6@north-1"
    And model servers "m1:v1@north-1"
    And one VM coordinates the placement of service "model"
    And prompts have parts
    When 8 streams from "n1" break off
    And model servers "m2:v2@north-1, m3:v2@north-1, m4:v2@north-1" join
    And every VM ignores the versions of placement requests
    And their callers take them up at each VM in turn
    Then each stream goes on to its end at version "v1"

  Scenario: callers don't get the key by which VMs know a version
    Given a gateway of VMs "n1@north-1, s1@south-1"
    And model servers "m9:v1@south-1"
    When 4 streams from "n1" run
    Then at least 4 streams are whole
    And no answer has a header of VMs

  Scenario: a stream is not continued by a server whose entry changes its version
    Given a gateway of VMs "n1@north-1, n2@north-1"
    And model servers "m1:v1@north-1"
    When 4 streams from "n1" break off
    And model server "m1" changes the version in its entry to "v2"
    And their callers take them up at "n2"
    Then each caller is refused within 500 ms and told when to come back
    And no stream ran at two versions
