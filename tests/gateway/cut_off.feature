Feature: isolated VMs stop sharing accounts' rates with the VMs that they lose contact with

  Scenario Outline: both sides of a partition spend little more than the rate
    # <cut> of <vms> VMs neither send nor receive reports any more. Until each side notices, both
    # spend whole rates; in a fleet of hundreds the peer timeout takes most of a quota's window.
    Given a fleet of <vms> VMs in <centres> data centres that receive each other's reports
    When <cut> of them are isolated
    Then after <isolated_ms> ms each of these spends only its own share
    And after <others_ms> ms the others spend only their own shares

    Examples:
      | vms | centres | cut | isolated_ms | others_ms |
      | 195 | 6       | 68  | 1300        | 3600      |
      | 64  | 6       | 20  | 1300        | 2100      |
      | 9   | 3       | 3   | 1300        | 2100      |
