Feature: a fleet's cut-off VMs stop sharing accounts' rates with those they don't hear

  Scenario Outline: both sides of a cut spend little more than the whole
    # <cut> of <vms> VMs hear nobody and are heard by nobody. Until each side notices, both spend
    # whole rates; a fleet of hundreds notices that a VM is gone only after most of a quota's window.
    Given a fleet of <vms> VMs in <centres> data centres that hear each other
    When <cut> of them are cut off
    Then after <alone> ms each of these spends its own part only
    And after <others> ms those that are left spend their own parts only

    Examples:
      | vms | centres | cut | alone | others |
      | 195 | 6       | 68  | 1300  | 3600   |
      | 64  | 6       | 20  | 1300  | 2100   |
      | 9   | 3       | 3   | 1300  | 2100   |
