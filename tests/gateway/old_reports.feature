Feature: a status report is news of when it was made, not of when it arrived

  # Guards against a VM that stood still, reads what was sent to it meanwhile, and takes VMs that have
  # ended since for live ones; it relays their reports to others of its data centre.
  Scenario Outline: reports that arrive late bring no VM back
    Given a linked gateway of VMs "n1@north-1, n2@north-1, <ends>"
    When "n1" reads nothing of other VMs for a while in which "<name>" crashes
    Then neither of "n1, n2" counts "<name>" as live in the next 1.5 s

    Examples:
      | ends       | name |
      | n3@north-1 | n3   |
      | t1@north-2 | t1   |
      | s1@south-1 | s1   |

  # Guards against VMs that stay out, as their reports are late ever since or their clock went slow.
  Scenario: reports that keep arriving late are news of a live VM
    Given a linked gateway of VMs "n1@north-1, s1@south-1"
    When the way between "n1" and "s1" gets 3000 ms longer
    Then within 8 s "n1" counts "s1" as live, and for 2 s after that
