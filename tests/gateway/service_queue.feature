Feature: queue of a service's waiting requests on one VM

  Scenario: only the first of hundreds of waiting requests poll
    # On a VM that coordinates placement for its region, a burst makes hundreds of requests wait.
    # If every one polled each 25 ms, they would use up the CPU that the VM's placement responses
    # need; those would be late, and the other VMs would place their requests by themselves.
    Given a queue in which 200 requests wait for 400 ms
    Then every wait ended and they polled at most 400 times in all

  Scenario: a request that gets to the front polls at once
    Given a queue in which 5 requests wait for 2000 ms
    When the first 4 leave one after the other
    Then the last one has polled within 100 ms

  # Guards against free memory that nobody uses, since the first in the queue is too large for it.
  Scenario: those behind a request that can use no slot search in their turn
    Given a queue in which 5 requests wait for 2000 ms
    When a slot comes free that the first 3 can't use
    Then the one behind them has searched within 100 ms, and the next one has not

  # Guards against new requests that wait while a server of another version is free.
  Scenario: streams that wait for a full version keep no others from searching
    Given queues in which 6 streams wait for one version
    When a request waits that any version may run
    Then that request may search at once

  Scenario: a free slot is offered to the streams that wait for a version, too
    Given queues in which 6 streams wait for one version
    When a request leaves a server
    Then the first of the streams searches within 20 ms

  # Guards against work that shifts unseen: operators read from the metrics what a VM has learned.
  Scenario: metrics tell how long requests hold a slot at a service's servers
    Given a small gateway with servers "m1:model, b1:books"
    When 4 callers of "small" ask "n1" for "/look/x"
    Then metrics of "n1" tell that requests hold a slot of "books" for some time
