Feature: changes that a VM keeps for those that don't watch the store

  Scenario: another VM gets what it lacks, in order
    Given a log of changes that begins after revision 10
    When changes of 100 bytes come at revisions 11 to 15
    Then a VM that knows 12 gets the changes "13, 14, 15"
    And a VM that knows 15 gets the changes ""
    And a VM that knows 9 is told to read the store

  Scenario: what is kept is bounded in bytes
    # An operator writes large configurations all day. Kept all, they would take the VM's memory
    # and its process would be killed; whoever lacks one that is gone reads the store.
    Given a log of changes that begins after revision 10
    When changes of 1000000 bytes come at revisions 11 to 60
    Then no more than 4000000 bytes are kept
    And a VM that knows 57 gets the changes "58, 59, 60"
    And a VM that knows 40 is told to read the store

  Scenario: what is kept is bounded in number
    Given a log of changes that begins after revision 10
    When changes of 10 bytes come at revisions 11 to 3000
    Then a VM that knows 2000 gets 1000 changes
    And a VM that knows 1999 is told to read the store

  Scenario: after everything was read anew, only later changes are known
    Given a log of changes that begins after revision 10
    When changes of 100 bytes come at revisions 11 to 15
    And everything is read anew at revision 20
    Then a VM that knows 19 is told to read the store
    And a VM that knows 20 gets the changes ""
