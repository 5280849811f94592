Feature: the client of the platform's store while the store fails

  Scenario Outline: a write that the store rejects is reported as not written
    Given a key-value store and its client
    When the key-value store returns <status> for every call
    Then a key-value write ends with "platform_out" and nothing was written

    Examples:
      | status |
      | 503    |
      | 429    |

  Scenario: reads are hardly retried while the store rejects calls
    # A rejected VM reads again and again until it succeeds. If each read were retried twice, the
    # fleet's useless calls would cost more than all its calls on a quiet day.
    Given a key-value store and its client
    When the key-value store returns 503 for every call
    And the key-value client attempts 10 reads
    Then the key-value store received at most 14 calls

  Scenario: after a timeout the next call opens a new connection
    # A middlebox dropped the open connection's state. A client that reused pooled connections
    # would run into its timeout on every call.
    Given a key-value store and its client
    When the key-value client has read once and then the store stops responding
    Then a key-value read fails
    When the key-value store responds again
    Then a key-value read succeeds at once on a new connection

  Scenario: a read joins all pages
    Given a key-value store and its client
    And the key-value store returns 3 items per page
    When 8 keys are written to the key-value store
    Then the key-value client finds all 8 under their prefix, in order

  Scenario: a watch without changes reports the store's revision
    Given a key-value store and its client
    When a key outside the watched prefix is written
    Then a watch without changes reports that revision

  Scenario: a backlog of changes costs one pause between polls
    # Twelve changes were made while the watch was interrupted. With a pause after each, the last
    # would be seen seconds later, and a revoked key would go on working.
    Given a key-value store and its client
    And the client's watch pauses 400 ms after a poll that returned changes
    When 12 changes of one key were made
    Then a watch from before them yields all 12 within 400 ms

  Scenario: the first successful call after a failure cancels a pending poll
    # The poll began before the store fell silent. Without the cancellation, changes made
    # meanwhile would be seen only when it times out, seconds after the store's return.
    Given a key-value store and its client
    And a watch of the key-value store has a pending poll
    When the key-value client has read once and then the store stops responding
    Then a key-value read fails
    And the key-value client says that calls fail
    When the key-value store responds again
    Then a key-value read succeeds at once on a new connection
    And the watch ended with "platform_out"
    And the key-value client says that calls succeed

  Scenario: a pending poll continues while calls succeed
    Given a key-value store and its client
    And a watch of the key-value store has a pending poll
    When the key-value client has read 3 times
    Then the watch is still pending

  # Guards against an answer that broke off and counts as the store's: a read without its items would
  # stop the VM's view of the store, and a write without its revision would count as done.
  Scenario Outline: an answer without a length that breaks off is no answer
    Given a key-value store and its client
    When the key-value store breaks its answers off after <share> of their body
    Then the key-value client's <call> ends with "<kind>"
    When the key-value store answers in full again
    Then the key-value client's read ends with "done"

    Examples:
      | call    | share | kind             |
      | read    | 0     | platform_out     |
      | read    | 0.5   | platform_out     |
      | range   | 0     | platform_out     |
      | watch   | 0     | platform_out     |
      | watch   | 0.5   | platform_out     |
      | write   | 0     | platform_unknown |
      | write   | 0.5   | platform_unknown |
      | grant   | 0     | platform_unknown |
      | renewal | 0     | platform_unknown |

  # Guards against a check of answers that takes whole ones for broken.
  Scenario Outline: an answer has to hold what its call asks for, and nothing else
    Given a key-value store and its client
    Then the key-value client takes "<body>" with status <status> to a "<call>" call: <taken>

    Examples:
      | call   | status | body                | taken |
      | revoke | 200    |                     | yes   |
      | revoke | 200    | null                | yes   |
      | revoke | 200    | {}                  | yes   |
      | keep   | 404    |                     | yes   |
      | keep   | 404    | null                | yes   |
      | keep   | 200    | {"ttl-ms":5000}     | yes   |
      | keep   | 200    | null                | no    |
      | watch  | 200    | {"at":7}            | yes   |
      | watch  | 410    |                     | yes   |
      | watch  | 200    | {"at":7             | no    |
      | txn    | 412    | {"items":[]}        | yes   |
      | txn    | 200    | {"revision":9}      | yes   |
      | txn    | 200    | {}                  | no    |
      | txn    | 404    |                     | yes   |
      | txn    | 410    |                     | no    |
      | read   | 404    |                     | yes   |
      | read   | 410    |                     | no    |
      | range  | 404    |                     | no    |
      | range  | 410    |                     | no    |
      | range  | 412    | {"items":[]}        | no    |
      | watch  | 404    |                     | no    |
      | lease  | 404    |                     | no    |
      | lease  | 412    | {"items":[]}        | no    |
      | keep   | 412    | {"items":[]}        | no    |
      | revoke | 404    |                     | yes   |

  # Guards against an empty store, a lease without a number, or a write that counts as not done, by a status
  # that is no answer to the call.
  Scenario Outline: a call that is answered with <status> is neither done nor known not to be
    Given a key-value store and its client
    When the key-value store returns <status> for every call
    Then the key-value client's <call> ends with "<kind>"

    Examples:
      | call    | status | kind             |
      | range   | 404    | platform_out     |
      | watch   | 404    | platform_out     |
      | grant   | 404    | platform_unknown |
      | grant   | 412    | platform_unknown |
      | renewal | 410    | platform_unknown |
      | write   | 410    | platform_unknown |
      | write   | 500    | platform_unknown |
      | write   | 502    | platform_unknown |
      | write   | 204    | platform_unknown |
      | write   | 403    | platform_out     |
      | read    | 500    | platform_out     |

  # Guards against a write that is taken for done, and state that is taken for read, by another call's reply.
  Scenario Outline: a reply that is told again is not taken for that to <call>
    Given a key-value store and its client, with keys under "a/" and "b/"
    And the key-value client has made the call "<earlier>"
    When the store tells that reply again in place of the one to "<call>"
    Then that call ends with "<error>"

    Examples:
      | earlier     | call        | error            |
      | read b/1    | read a/1    | platform_out     |
      | range b/    | range a/    | platform_out     |
      | watch b/ 0  | watch a/ 0  | platform_out     |
      | watch a/ 0  | watch a/ 9  | platform_out     |
      | write a/2   | write a/3   | platform_unknown |
      | grant       | grant       | platform_unknown |
      | read a/1    | write a/4   | platform_unknown |

  Scenario: a read that is older than what was known is not taken
    Given a key-value store and its client, with keys under "a/" and "b/"
    And the key-value client has made the call "read a/1"
    When the key-value client writes "a/1" again
    And the store tells that reply again in place of the one to "read a/1"
    Then that call ends with "platform_out"

  # Guards against a reply that comes late, where the next call's is expected.
  Scenario: after bytes of no call the next calls come on new connections
    Given a key-value store and its client, before which bytes of no call follow a reply
    When the key-value client reads once, and then 3 times without such bytes
    Then it has opened 4 connections

  # Guards against a large configuration that takes longer than it may, from a store that is far away.
  Scenario: what a VM asks the store for comes through a buffer of the kernel's own choice
    Given what bounds the kernel's receive buffers is noted
    And a key-value store and its client
    When the key-value client has read 1 times
    Then no receive buffer of its connection is bounded
