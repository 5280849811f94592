Feature: which VMs the directory names to a caller

  # What a caller sees: VMs are stopped in turn, faster than they are back. A caller whose routes
  # are bound to north and south is named a VM in west, which may not run its requests and has to
  # find one that may; they are refused there. First the region's last VM begins to shut down,
  # then the other home's; each goes on for some seconds with what surely ends in time.

  Scenario Outline: homes go before VMs that take everything
    Given the directory knows north with <north>
    And the directory knows south with <south>
    And the directory knows west with serving "w1"
    Then a caller in north bound to "north, south" is named "<named>"
    And a caller in north bound to "no region" is named "<unbound>"

    Examples:
      | north                          | south                          | named | unbound |
      | serving "n1", draining "n2"     | serving "s1"                   | n1    | n1      |
      | draining "n2", draining_short_only "n1"   | serving "s1"                   | n2    | n2      |
      | draining_short_only "n1"                 | serving "s1", draining "s2"     | s1    | s1      |
      | draining_short_only "n1"                 | draining "s2"                   | s2    | w1      |
      | draining_short_only "n1"                 | draining_short_only "s2"                 | n1    | w1      |
      | nothing                        | draining_short_only "s2"                 | s2    | w1      |
      | nothing                        | nothing                        | w1    | w1      |

  Scenario: without any other VM, one that only finishes is named
    Given the directory knows north with draining_short_only "n1"
    Then a caller in north bound to "no region" is named "n1"

  # What a caller sees: it asks a VM that has just started, which knows itself and no other yet,
  # and is led to it, out of its homes, though these have VMs.
  Scenario: a VM that has just started leads nobody out of a region
    Given the directory knows west with serving "w1"
    And the directory has just started
    Then a caller in north bound to "north, south" is named "nobody"
    And a caller in west bound to "north, south" is named "w1"
    And a caller in north bound to "no region" is named "nobody"
