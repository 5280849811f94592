Feature: one VM of a region coordinates the placement of prompts for all

  Scenario: all VMs agree on the coordinator and on the next one
    Given VMs "a, b, c, d, e, f" of a region
    Then they agree on a ranking of 6 VMs for service "m"
    And without its first VM the ranking for "m" is the same otherwise
    And for "m" and "n" the ranking is not the same

  Scenario: a VM with a much stronger processor is the coordinator
    # Placement for dozens of VMs takes a good part of a small VM's processor: its responses would
    # be late, and the other VMs would decide alone.
    Given VMs "a, b, c, d, e, f" of a region
    And VM "d" has 4 times the processor of the others
    Then "d" coordinates every one of 20 services

  Scenario: the services are spread over VMs of about equal strength
    Given VMs "a, b, c, d, e, f" of a region
    And VM "d" has 1.2 times the processor of the others
    Then each VM coordinates some of 60 services

  Scenario: in a small region each VM decides alone
    Given VMs "a, b, c, d" of a region
    Then no VM coordinates "m"

  Scenario Outline: a coordinator keeps servers within their slots and callers on time
    # <vms> VMs send short questions with long responses, beside long prompts, to <servers> servers
    # of 12 slots. When each VM chooses by reports that are 250 ms old, they send to servers that
    # are full while others are idle, and prefill shared parts anew that a server beside holds. So
    # prompts slow the streams, slots are held for longer, and nearly every response is late at a
    # load that the servers could bear.
    Given <vms> VMs before <servers> servers, asked for <questions> questions and <prompts> prompts a second
    Then with a coordinator at least 95 of 100 callers are served on time
    And with a coordinator no server rejects a request
    And when each VM chooses, fewer than 80 of 100 are

    Examples:
      | vms | servers | questions | prompts |
      | 65  | 30      | 104       | 78      |
      | 130 | 60      | 208       | 156     |
