Feature: how old a VM's report is when it arrives

  # Each row: what the VM says it has been up for, and when it arrives; then the age that is concluded.
  Scenario Outline: <what>
    When reports of a VM up for "<up>" ms arrive at "<at>" ms
    Then their ages are "<ages>" ms

    Examples:
      | what                                                     | up                          | at                               | ages                       |
      | reports on time are new                                  | 100, 200, 300               | 5100, 5200, 5300                 | 0, 0, 0                    |
      | one that is late by itself is as old as that             | 100, 200, 300               | 5100, 5950, 5300                 | 0, 750, 0                  |
      | a faster one shows that those before it were late        | 100, 200, 300               | 5600, 5200, 5500                 | 0, 0, 200                  |
      | those read at once after a pause are old                 | 100, 200, 300, 400          | 5100, 15000, 15000, 15001        | 0, 9800, 9700, 9601        |
      | as are those of a VM that was seen to be late before     | 100, 150, 300, 400          | 5100, 5160, 15000, 15000         | 0, 10, 9690, 9590          |
      | a way that has become longer counts once it stays so     | 100, 1000, 2000, 3000, 4000 | 5100, 8000, 9000, 10000, 11000   | 0, 2000, 2000, 2000, 0     |
      | a VM whose clock stood still counts once it stays so     | 100, 200, 1200, 2200, 3200  | 5100, 25200, 26200, 27200, 28200 | 0, 20000, 20000, 20000, 0  |
      | a VM whose clock is slow is not taken for older and older | 0, 3000, 6000, 9000, 12000 | 0, 3010, 6020, 9030, 12040       | 0, 10, 10, 20, 10          |
