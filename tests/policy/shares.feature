Feature: tokens are moved between VMs and never created

  Scenario: no order of events lets an account exceed its rate and burst
    # VMs spend, settle, lend, return loans and transfer parts, while messages are lost,
    # duplicated and delayed, writes take effect after their writers gave up on them, VMs pause
    # and crash, and new terms reach the VMs one by one. Every window of the spending is checked.
    Then 300 runs of 50 share events never exceed rate and burst
    And 200 runs of 50 share events with change tickets never exceed them either
