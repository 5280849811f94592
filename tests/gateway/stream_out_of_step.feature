Feature: a VM that is out of step concludes no stream's version from what it did not hear

  # Guards against VMs that count the silence of the store and of other VMs as their agreement.
  Scenario Outline: streams go on at no other version at VMs that <what>
    Given a gateway with links of VMs "<vms>"
    And model servers "m1:v1@north-1, m9:v1@south-1"
    And all VMs have run for 5 s
    When VMs "<vms out of step>" <what>
    And model servers "m2:v2@north-1, m8:v2@south-1" join
    And 16 streams from "s1" break off
    And their callers take them up at "<vms out of step>" in turn, and name <named>
    Then at least 4 streams began at each version of "v1, v2"
    And no caller got a stream of two versions

    Examples:
      | vms                                                                 | vms out of step | what                                    | named |
      | n1@north-1, n2@north-1, t1@north-2, s1@south-1, s2@south-1          | n1, n2          | lose the store and other VMs in silence | them |
      | n1@north-1, n2@north-1, t1@north-2, s1@south-1, s2@south-1          | n1, n2          | lose the store and other VMs in silence | none  |
      | n1@north-1, n2@north-1, t1@north-2, s1@south-1, s2@south-1          | n1, n2, t1      | lose the store and other VMs in silence | them |
      | n1@north-1, n2@north-1, t1@north-2, s1@south-1, s2@south-1          | n1, n2, t1      | lose the store and other VMs in silence | none  |
      | n1@north-1, n2@north-1, t1@north-2, s1@south-1, s2@south-1          | n1, n2, t1      | lose the store in silence               | them |
      | n1@north-1, n2@north-1, t1@north-2, s1@south-1, s2@south-1          | n1, n2, t1      | lose the store in silence               | none  |
      | n1@north-1, n2@north-1, t1@north-2, s1@south-1, s2@south-1          | n1, n2, t1      | reach the store 1500 ms late each way   | them |
      | n1@north-1, n2@north-1, t1@north-2, s1@south-1, s2@south-1          | n1, n2, t1      | reach the store 1500 ms late each way   | none  |
      | n1@north-1, n2@north-1, n3@north-1, n4@north-1, n5@north-1, n6@north-1, s1@south-1 | n1, n2, n3, n4, n5, n6 | lose the store in silence where they watch it | them |
      | n1@north-1, n2@north-1, n3@north-1, n4@north-1, n5@north-1, n6@north-1, s1@south-1 | n1, n2, n3, n4, n5, n6 | lose the store in silence where they watch it | none |
      | n1@north-1, n2@north-1, t1@north-2, s1@south-1, s2@south-1          | n1              | lose the store and other VMs in silence | none  |
      | n1@north-1, n2@north-1, t1@north-2, s1@south-1, s2@south-1          | n1              | lose the store in silence               | none  |

  # Guards against refusing what can be shown: the store, or each VM, says that there was one version.
  Scenario Outline: streams that nobody knows go on at the only version while VMs <what>
    Given a gateway with links of VMs "n1@north-1, n2@north-1, t1@north-2, s1@south-1, s2@south-1"
    And model servers "m1:v1@north-1, m9:v1@south-1"
    And all VMs have run for 5 s
    When VMs "<vms>" <what>
    And callers take up 4 streams that they do not name the request of at "n1"
    Then each stream goes on to its end at version "v1"

    Examples:
      | vms                | what                                    |
      | n1                 | lose the store in silence               |
      | n1, n2, t1         | lose the store in silence               |
      | n1, n2, t1, s1, s2 | lose the store in silence               |
      | n1, n2, t1, s1, s2 | reach the store 1500 ms late each way   |

  # Guards against refusing what the store shows to a VM that remembers all versions.
  Scenario Outline: streams that nobody knows go on where the store vouches and other VMs are silent
    Given a gateway with links of VMs "n1@north-1, n2@north-1, t1@north-2, s1@south-1, s2@south-1"
    And model servers "m1:v1@north-1, m9:v1@south-1"
    And all VMs have followed the store for a minute
    When VMs "<vms>" lose the store and other VMs in silence
    And callers take up 4 streams that they do not name the request of at "n1"
    Then each stream goes on to its end at version "v1"

    Examples:
      | vms    |
      | s1, s2 |
      | t1     |

  # Guards against a VM that remembers some seconds, while a silent one may remember more.
  Scenario: streams that nobody knows wait for silent VMs where this one remembers seconds only
    Given a gateway with links of VMs "n1@north-1, n2@north-1, t1@north-2, s1@south-1, s2@south-1"
    And model servers "m1:v1@north-1, m9:v1@south-1"
    And all VMs have run for 5 s
    When VMs "t1" lose the store and other VMs in silence
    And callers take up 4 streams that they do not name the request of at "n1"
    Then each caller is refused within 500 ms and told when to come back
    When VM "t1" is no longer live for "n1"
    And callers take up 4 streams that they do not name the request of at "n1"
    Then each stream goes on to its end at version "v1"
