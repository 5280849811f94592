Feature: a stream goes on from a server of its own region only once that has closed its end

  # Guards against a failed link to a server that is taken for the end of its run, which goes on.
  Scenario Outline: a stream goes on, or its caller gets its final answer
    Given a small gateway with servers "m1:model, m2:model"
    And streams take 1200 ms to their first event
    When the server of a stream <harm>
    Then its caller gets <answer>, and servers ran it <runs> times
    And no two of its runs are there at once for more than 400 ms

    Examples:
      | harm                                        | answer              | runs |
      | can't be reached any more, and works on     | a failure within 3 s | 1    |
      | ends                                        | the whole stream    | 2    |
      | hangs until its caller leaves               | the whole stream    | 2    |
      | sends bytes that are no response            | the whole stream    | 2    |
      | closes its end and works on                 | a failure within 3 s | 1    |

  # Guards against a late report that is taken for what runs now.
  Scenario Outline: a stream goes on only once its server no longer reports its run
    Given a small gateway with servers "m1:model, m2:model"
    And streams take 1200 ms to their first event
    And servers report <what>
    When the server of a stream <harm>
    Then its caller gets <answer>, and servers ran it <runs> times
    And no two of its runs are there at once for more than 400 ms

    Examples:
      | what                             | harm                          | answer               | runs |
      | what they ran 0 ms ago           | closes its end and works on   | a failure within 3 s | 1    |
      | what they ran 450 ms ago         | closes its end and works on   | a failure within 3 s | 1    |
      | nothing in time                  | closes its end and works on   | a failure within 3 s | 1    |
      | what breaks off                  | closes its end and works on   | a failure within 3 s | 1    |
      | what they ran 450 ms ago         | hangs until its caller leaves | the whole stream     | 2    |
      | what they ran 450 ms ago         | ends                          | the whole stream     | 2    |
      | no runs                          | hangs until its caller leaves | the whole stream     | 2    |

  # Guards against lookups that wait for a server that can't be heard: they may run twice.
  Scenario: a lookup goes on at once
    Given a small gateway with servers "b1:books, b2:books"
    When the server of a lookup can't be reached any more, and works on
    Then its caller gets the answer within 600 ms

  # Guards against a report from before a run began, which doesn't list it yet.
  Scenario: a stream doesn't go on by a report that may be older than its run
    Given a small gateway with servers "m1:model, m2:model"
    And streams take 1200 ms to their first event
    And servers report what they ran 450 ms ago
    When the server of a stream sends bytes that are no response, and works on
    Then its caller gets a failure within 3 s, and servers ran it 1 times

  # Guards against a report of another form, or a part of one, that is taken for one that lists no runs.
  Scenario Outline: a report tells runs only if it lists them
    Then the report <report> tells <runs>

    Examples:
      | report                                                    | runs               |
      | {"running": 1, "runs": [["a", 10, 2, 5], ["b", 1, 0, 0]]} | runs a, b          |
      | {"runs": []}                                              | no runs            |
      | {"running": 1}                                            | nothing            |
      | {"runs": [[7, 1, 1, 1]]}                                  | nothing            |
      | {"runs": ["a"]}                                           | nothing            |
      | not found                                                 | too little to read |
      | {"running": 1, "runs": [["a", 10, 2, 5]                   | too little to read |
