Feature: in a region of many VMs one of them places the prompts of all

  Background:
    Given a small gateway with VMs "n1, n2, n3, n4, n5, n6"
    And one VM places the prompts of service "model" for all

  Scenario: prompts are placed by the one that knows all places, and run once
    When callers ask every VM for 4 prompts
    Then all prompts are answered and ran once
    And each VM but the placing one got 4 places from it
    And within 2 s no VM counts a request at any server

  Scenario: the VM that places crashes
    # Nobody answers the others' questions any more, and they don't know yet that it is gone.
    # Each decides alone after a tenth of a second instead of waiting for an answer.
    When the placing VM crashes and callers ask every VM that is left for 4 prompts
    Then all prompts are answered and ran once
    And each prompt was answered within 1500 ms
    And within 2 s no VM counts a request at any server

  Scenario: a VM that hears nobody does not ask one after the other
    # It is cut off from the others and still reaches servers. Each question would hold its
    # request for a tenth of a second, for as long as it believes the others to be there.
    When the VM that would be the last to place hears nobody any more
    And a caller asks it for 10 prompts one after the other
    Then all prompts are answered and ran once
    And for at most 3 of them it waited for an answer in vain

  Scenario: what was lost on the way is said again
    # Datagrams are lost now and then. A lost question or answer must not hold a request up, and
    # a lost word on its end must not keep its place taken. What is held is told whole each 0.8 s;
    # with every third one lost, that takes some times.
    When every third datagram about places is lost
    And callers ask every VM for 8 prompts
    Then all prompts are answered and ran once
    And within 4 s no VM counts a request at any server

  Scenario: a caller who leaves while its request is placed leaves no place taken
    When callers ask every VM for 4 prompts and leave at once
    Then within 2 s no VM counts a request at any server

  Scenario: a cold server gets work from the VM that places, within its bound
    # Only two VMs may choose a server while it is cold. Were they found without regard to who
    # places, the one that is asked for all places could hardly ever use it: engines that came back
    # would stand idle for as long as they are cold.
    When the only model server starts anew and is cold for 1500 ms
    And callers ask every VM for prompts during 1000 ms
    Then the cold server got at least 1 and at most 6 of them
