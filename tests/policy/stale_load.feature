Feature: a server is drawn by waits that are known with a delay

  Scenario Outline: unreported work fills the emptiest servers first
    Then work of <work> ms fills servers with waits "<waits>" up to <level> ms

    Examples:
      | waits       | work | level |
      | 0, 0, 0     | 30   | 10    |
      | 0, 50, 400  | 30   | 30    |
      | 0, 50, 400  | 150  | 100   |
      | 400, 0, 50  | 150  | 100   |
      | 70          | 30   | 100   |

  Scenario: without unreported work the shortest wait is taken
    Then with waits "30, 10, 20" and no unreported work server 1 is taken in 100 draws

  Scenario: a server above the level is never drawn, the emptiest most often
    # Work of 60 ms fills the first two up to 40 ms: they take 40 and 20 of it.
    Then with waits "0, 20, 200" and 60 ms of unreported work 300 draws come near "200, 100, 0"

  Scenario Outline: many VMs don't send to the same servers at once
    # Callers send long prompts to <vms> VMs; each VM gets the others' reports 200 ms late, as
    # between two data centres. With the shortest known wait, all prompts between two reports go
    # to the same few servers and wait there beside idle ones.
    Given prompts of 100 ms that keep <servers> servers before <vms> VMs busy for half of the time
    Then 95 of 100 prompts to a server drawn at random wait less than <drawn> ms
    And 95 of 100 prompts wait more than <shortest> ms with the shortest known wait
    And drawing is better than "round-robin" and "least-requests"

    Examples:
      | vms | servers | drawn | shortest |
      | 30  | 23      | 300   | 600      |
      | 43  | 67      | 300   | 1000     |

  Scenario: few VMs lose nothing by drawing
    Given prompts of 100 ms that keep 3 servers before 3 VMs busy for half of the time
    Then 95 of 100 prompts to a server drawn at random wait less than 250 ms
