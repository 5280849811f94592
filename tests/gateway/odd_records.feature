Feature: an odd record that VMs keep in the store parts no VM from the others

  # Guards against what one record says and VMs tell each other, in reports that nobody can read or
  # that no datagram carries.
  Scenario Outline: VMs hear each other whatever a record of crashes says
    Given a small gateway with a southern region and VMs "n1, n2"
    When another writer writes <what> at "<key>"
    And 4 s pass
    Then VMs "n1, n2, s1" hear 3 live VMs
    And what "n1" tells VMs that start of suspects can be read
    And no service was started again

    Examples:
      | key                                          | what                                 |
      | hickorybeam/blocked/6162                     | a block of 2^53 ms before the epoch  |
      | hickorybeam/blocked/6162                     | a block of 2^53 ms after the epoch   |
      | hickorybeam/blocked/6162                     | a block of the oldest age in bounds  |
      | hickorybeam/blocked/6162                     | a block of servers of 100 KB         |
      | hickorybeam/blocked/6162                     | a block of requests of 100 KB        |
      | hickorybeam/blocked/<a key of 180>           | a block of now                       |
      | hickorybeam/suspects/x                       | a suspect of 100 KB                  |
      | hickorybeam/suspects/x                       | 300 suspects of now                  |
