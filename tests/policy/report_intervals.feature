Feature: intervals that limit what a VM sends, receives and polls as the fleet grows

  Scenario Outline: report and poll intervals at today's size, that of grown fleets and the target
    Then with <local> local peers of <vms> VMs, <watchers> watching, reports are <local_ms> and <remote_ms> ms apart
    And a VM times out after <peer> ms, a watcher after <watcher> ms
    And a watch pauses <pause> ms and polls for up to <poll> ms

    Examples:
      | local | vms | watchers | local_ms | remote_ms | peer | watcher | pause | poll  |
      | 2     | 9   | 9        | 100      | 400       | 2000 | 1200    | 400   | 9000  |
      | 14    | 85  | 12       | 100      | 680       | 3120 | 1200    | 480   | 12000 |
      | 42    | 390 | 18       | 294      | 1500      | 7176 | 1200    | 720   | 18000 |

  Scenario Outline: a VM that has just started is known to other data centres within 0.1 s
    # All VMs were killed. Each region's callers return at once; until its VMs have reports from
    # other regions, all prompts go to its own servers.
    Then a VM of <vms> that has just started reports to other data centres every 100 ms

    Examples:
      | vms |
      | 6   |
      | 390 |
