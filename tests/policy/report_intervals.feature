Feature: intervals that keep what a VM sends, reads and asks bounded as the fleet grows

  Scenario Outline: words and watches at the sizes of today, of the grown fleets and of the target
    Then with <near> other VMs near of <vms>, <watchers> watching, words are <near_ms> and <outside_ms> ms apart
    And a VM is gone after <gone> ms, a watcher after <watcher_gone> ms
    And a watch rests <rest> ms and waits <wait> ms

    Examples:
      | near | vms | watchers | near_ms | outside_ms | gone | watcher_gone | rest | wait  |
      | 2    | 9   | 9        | 100     | 400        | 2000 | 1200         | 400  | 9000  |
      | 14   | 85  | 12       | 100     | 680        | 3120 | 1200         | 480  | 12000 |
      | 42   | 390 | 18       | 294     | 1500       | 7176 | 1200         | 720  | 18000 |

  Scenario Outline: a VM that has just started is heard outside within a tenth of a second
    # All VMs were killed. Each region's callers come back at once; until its VMs have heard of
    # other regions, all prompts go to its own servers.
    Then a young VM of <vms> tells other data centres each 100 ms

    Examples:
      | vms |
      | 6   |
      | 390 |
