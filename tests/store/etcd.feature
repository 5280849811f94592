Feature: the etcd client speaks the published mapping and survives its connections

  Scenario Outline: messages are those of the published examples
    Given a served stand-in platform
    When the raw platform calls "POST /v3/kv/txn" with '{"compare":[{"modRevision":"0","target":"MOD","key":"Zm9v"}],"success":[{"requestPut":{"key":"Zm9v","value":"YmFy"}}]}'
    And the raw platform calls "POST <path>" with '<body>'
    Then the raw platform answer holds '<part>'

    Examples:
      | path            | body                                  | part                       |
      | /v3/kv/range    | {"key":"Zm9v"}                        | "key":"Zm9v","value":"YmFy" |
      | /v3/kv/range    | {"key":"Zm9v","range_end":"Zm9w"}     | "count":"1"                |
      | /v3/kv/range    | {"key":"YQ=="}                        | "header":{"revision":"2"}  |
      | /v3/lease/grant | {"TTL":"5"}                           | "TTL":"5"                  |
      | /v3/kv/range    | {"key":5}                             | "code":3                   |

  Scenario: a connection that fell silent is never used again
    # The caller sees one lost read at most: the first request on the silent connection times
    # out, the pool with all its connections is given up, and the retry opens a new one.
    Given an etcd client behind a relay
    And the etcd client has read once
    When the relay swallows all bytes of the open connections
    Then the etcd client reads again over a new connection

  Scenario: the next address is tried when one refuses connections
    Given an etcd client whose first address refuses connections
    Then the etcd client writes and reads

  Scenario: a spent retry budget ends retries
    Given a retry budget of 2 earned at 0.5 a call
    Then 2 retries are granted and the next is not
    And after 2 more calls 1 retry is granted

  Scenario: an answer that can't be read tells no more than none
    # Something between answers with a page of its own and status 200. The write may have taken
    # effect for all the client knows, so its outcome is unknown; the read and watch fail.
    Given an etcd client whose server answers "<html>sign in</html>"
    Then the etcd client's write ends with "platform_unknown"
    And the etcd client's read ends with "platform_out"
    And the etcd client's watch ends with "platform_out"
