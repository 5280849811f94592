Feature: which VMs the directory lists for a caller

  # Guards against a caller whose routes are bound to north and south being sent to a VM in west,
  # which may not run its requests: they are refused there, though VMs of its home regions could
  # run them. It happens when VMs are restarted in turn, faster than they are back: first the
  # region's last VM begins to shut down, then the other home region's, and each accepts for some
  # seconds more what is sure to end in time.

  Scenario Outline: home regions go before VMs that accept everything
    Given the directory knows north with <north>
    And the directory knows south with <south>
    And the directory knows west with serving "w1"
    Then a caller in north bound to "north, south" is sent to "<bound>"
    And a caller in north bound to "no region" is sent to "<unbound>"

    Examples:
      | north                                    | south                         | bound | unbound |
      | serving "n1", draining "n2"              | serving "s1"                  | n1    | n1      |
      | draining "n2", draining_short_only "n1"  | serving "s1"                  | n2    | n2      |
      | draining_short_only "n1"                 | serving "s1", draining "s2"   | s1    | s1      |
      | draining_short_only "n1"                 | draining "s2"                 | s2    | w1      |
      | draining_short_only "n1"                 | draining_short_only "s2"      | n1    | w1      |
      | nothing                                  | draining_short_only "s2"      | s2    | w1      |
      | nothing                                  | nothing                       | w1    | w1      |

  Scenario: a VM that accepts only short requests is listed when there is no other
    Given the directory knows north with draining_short_only "n1"
    Then a caller in north bound to "no region" is sent to "n1"

  # Guards against a caller being sent out of its home regions, though these have VMs, by a VM that
  # has just started and knows no VM but itself yet.
  Scenario: a VM that has just started sends nobody out of a region
    Given the directory knows west with serving "w1"
    And the directory has just started
    Then a caller in north bound to "north, south" is sent to "nobody"
    And a caller in west bound to "north, south" is sent to "w1"
    And a caller in north bound to "no region" is sent to "nobody"
