Feature: the whole path before the platform's stand-ins

  Scenario: a calm day, then a lost answer and a silent store
    # Three VMs in two regions find their servers in the store. An order whose answer is lost runs
    # once and its outcome is said to be unknown; a lookup is sent again; what is known serves on
    # while the store is silent.
    When the story of the platform is told
    Then the story says "3 VMs and 4 servers in 2 regions have met"
    And the story says "a lookup: 200, done by b1"
    And the story says "a stream: 200, 6 events, whole: True"
    And the story says "a request at home in the south, asked in the north: 200, done by b9"
    And the story says "an unknown key: 401"
    And the story says "an order whose answer is lost: 502, 1 run"
    And the story says "a lookup whose first answer is lost: 200"
    And the story says "a lookup while the store is silent: 200"
