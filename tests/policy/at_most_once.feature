Feature: no interleaving of attempts runs an idempotency key twice

  Scenario: attempts at three VMs interleave, while claims are written late and VMs die
    # Callers send the same keys to several VMs at once. Writes of claims succeed, lose their
    # response or take effect late, outcomes are stored or not, and VMs lose all their state. The
    # executions of each key are counted.
    Then 300 runs of 50 idempotency events never execute a key twice

  Scenario: a table with no room for one more key refuses instead of forgetting
    Given an idempotency table for 2 keys
    When calls with keys "a b" finish in the idempotency table at 0 and expire at 1000
    Then key "c" is refused by the idempotency table as "vm_full" at 999
    And key "c" is accepted by the idempotency table at 1000
