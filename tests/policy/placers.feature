Feature: one VM of a region places prompts for all

  Scenario: all VMs agree on who places, and on who is next
    Given VMs "a, b, c, d, e, f" of a region
    Then they agree on an order of 6 VMs for service "m"
    And without its first VM the order for "m" is the same otherwise
    And for "m" and "n" the order is not the same

  Scenario: the VM with much processor places
    # Placing for dozens of VMs takes a good part of a small one's processor: its answers would be
    # late, and the others would decide alone.
    Given VMs "a, b, c, d, e, f" of a region
    And VM "d" has 4 times the processor of the others
    Then "d" places for every one of 20 services

  Scenario: among about equals the duty is spread
    Given VMs "a, b, c, d, e, f" of a region
    And VM "d" has 1.2 times the processor of the others
    Then each places for some of 60 services

  Scenario: in a small region each decides alone
    Given VMs "a, b, c, d" of a region
    Then nobody places for "m"

  Scenario Outline: servers stay within what they bear, and callers are served in time
    # <vms> VMs before <servers> servers of 12 places: short questions with long answers beside long
    # prompts. When each VM chooses by words that are 250 ms old, they send to servers that are full
    # while others are idle, and read shared parts anew that a server beside holds; so prompts slow
    # the streams, places are held for longer, and nearly everybody is late at a load that the
    # servers could bear.
    Given <vms> VMs before <servers> servers, asked for <questions> questions and <prompts> prompts a second
    Then with one VM that places at least 95 of 100 callers are served punctually
    And with one VM that places no server rejects a request
    And when each VM chooses, fewer than 80 of 100 are

    Examples:
      | vms | servers | questions | prompts |
      | 65  | 30      | 104       | 78      |
      | 130 | 60      | 208       | 156     |
