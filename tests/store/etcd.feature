Feature: the etcd client follows etcd's published JSON mapping and handles connection faults

  Scenario Outline: messages have the form of the published examples
    Given a served stand-in platform
    When the raw platform calls "POST /v3/kv/txn" with '{"compare":[{"modRevision":"0","target":"MOD","key":"Zm9v"}],"success":[{"requestPut":{"key":"Zm9v","value":"YmFy"}}]}'
    And the raw platform calls "POST <path>" with '<body>'
    Then the raw platform response contains '<part>'

    Examples:
      | path            | body                                  | part                       |
      | /v3/kv/range    | {"key":"Zm9v"}                        | "key":"Zm9v","value":"YmFy" |
      | /v3/kv/range    | {"key":"Zm9v","range_end":"Zm9w"}     | "count":"1"                |
      | /v3/kv/range    | {"key":"YQ=="}                        | "header":{"revision":"2"}  |
      | /v3/lease/grant | {"TTL":"5"}                           | "TTL":"5"                  |
      | /v3/kv/range    | {"key":5}                             | "code":3                   |

  Scenario: a stalled connection is not used again
    # At most one read is lost: the first request on the stalled connection times out, the pool with
    # all its connections is replaced, and the retry opens a new connection.
    Given an etcd client behind a relay
    And the etcd client has read once
    When the relay drops all bytes of the open connections
    Then the etcd client reads again over a new connection

  Scenario: the client tries the next address when one refuses connections
    Given an etcd client whose first address refuses connections
    Then the etcd client writes and reads

  Scenario: an exhausted retry budget ends retries
    Given a retry budget of 2 earned at 0.5 a call
    Then 2 retries are granted and the next is not
    And after 2 more calls 1 retry is granted

  Scenario: a response that can't be decoded is handled like a missing one
    # A proxy in between responds with a page of its own and status 200. The write may have taken
    # effect, so its outcome is unknown; the read and the watch fail.
    Given an etcd client whose server responds "<html>sign in</html>"
    Then the etcd client's write ends with "platform_unknown"
    And the etcd client's read ends with "platform_out"
    And the etcd client's watch ends with "platform_out"
