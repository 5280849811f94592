Feature: changes kept for VMs that don't watch the store

  Scenario: another VM gets the changes that it lacks, in order
    Given a change log that is complete after revision 10
    When changes of 100 bytes arrive at revisions 11 to 15
    Then a VM at revision 12 gets the changes "13, 14, 15"
    And a VM at revision 15 gets the changes ""
    And a VM at revision 9 has to read the store

  Scenario: kept changes are bounded in bytes
    # An operator writes large configurations all day. If all were kept, they would fill the VM's
    # memory and its process would be killed. A VM that lacks a dropped change reads the store.
    Given a change log that is complete after revision 10
    When changes of 1000000 bytes arrive at revisions 11 to 60
    Then at most 4000000 bytes are kept
    And a VM at revision 57 gets the changes "58, 59, 60"
    And a VM at revision 40 has to read the store

  Scenario: kept changes are bounded in number
    Given a change log that is complete after revision 10
    When changes of 10 bytes arrive at revisions 11 to 3000
    Then a VM at revision 2000 gets 1000 changes
    And a VM at revision 1999 has to read the store

  Scenario: after a full read only later changes are available
    Given a change log that is complete after revision 10
    When changes of 100 bytes arrive at revisions 11 to 15
    And everything is read from the store at revision 20
    Then a VM at revision 19 has to read the store
    And a VM at revision 20 gets the changes ""
