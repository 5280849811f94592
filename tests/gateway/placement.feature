Feature: a placement coordinator places the prompts of all VMs of a region

  Background:
    Given a small gateway with VMs "n1, n2, n3, n4, n5, n6"
    And one VM coordinates the placement of service "model"

  Scenario: prompts are placed by the coordinator and run once
    When callers send every VM 4 prompts
    Then all prompts get a response and ran once
    And each VM but the coordinator was granted 4 slots
    And within 2 s no VM counts a request at any server

  Scenario: the coordinator crashes
    # The other VMs don't know yet that it is gone, and get no placement responses. Each places by
    # itself after a tenth of a second instead of waiting for a response.
    When the coordinator crashes and callers send every remaining VM 4 prompts
    Then all prompts get a response and ran once
    And each prompt got its response within 1500 ms
    And within 2 s no VM counts a request at any server

  Scenario: an isolated VM does not try one coordinator after the other
    # It is cut off from the other VMs and still reaches the servers. Each placement request would
    # delay its prompt by a tenth of a second for as long as it takes the other VMs to be live.
    When the VM that ranks last as coordinator gets no messages any more
    And a caller sends it 10 prompts one after the other
    Then all prompts get a response and ran once
    And for at most 3 of them it got no placement response

  Scenario: lost placement messages are made up for
    # Datagrams get lost now and then. A lost request or response must not delay a prompt, and a
    # lost update on a prompt's end must not keep its slot taken. All held slots are sent each
    # 0.8 s; with every third message lost, it takes some of these.
    When every third placement message is lost
    And callers send every VM 8 prompts
    Then all prompts get a response and ran once
    And within 4 s no VM counts a request at any server

  Scenario: a caller that disconnects during placement leaves no slot taken
    When callers send every VM 4 prompts and disconnect at once
    Then within 2 s no VM counts a request at any server

  Scenario: a cold server gets prompts from the coordinator, within its rate limit
    # Only two VMs may choose a server while it is cold. If they were picked regardless of who
    # coordinates placement, the coordinator, which places all prompts, could hardly ever use it:
    # restarted engines would stand idle for as long as they are cold.
    When the only model server restarts and is cold for 1500 ms
    And callers send every VM prompts during 1000 ms
    Then the cold server got at least 1 and at most 6 of them
