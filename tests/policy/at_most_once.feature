Feature: no interleaving of attempts runs an idempotency key twice

  Scenario: attempts at three VMs interleave, while claims land late and VMs die
    # Callers try the same keys at several VMs at once. Claims are written, answered, lost or
    # late; outcomes are written or not; VMs forget everything. Executions are counted.
    Then 300 runs of 50 once events never run a key twice

  Scenario: a table with no room for one more key refuses instead of forgetting
    Given a once table for 2 keys
    When keys "a b" are used in the once table at 0 until 1000
    Then key "c" is refused by the once table as "vm_full" at 999
    And key "c" is taken by the once table at 1000
