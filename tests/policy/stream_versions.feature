Feature: a table of the versions that began streams

  Scenario: a stream is known by the request that began it until its caller's deadline
    Given a table of streams
    When streams "a, b" of version "v1" begin with 15 s left
    Then streams "a, b" are known as "v1"
    And streams "c" are unknown
    When 10 s pass for the table
    Then streams "a, b" are known as "v1"
    When 15 s pass for the table
    Then streams "a, b" are unknown
    And the table has 0 entries

  # Guards against a guess where two VMs tell different versions.
  Scenario Outline: a stream that two versions are recorded for is unknown
    Given a table of streams
    When streams "a" of version "v1" begin with 15 s left
    And another VM tells streams "a" of version "v2" with <left> s left
    Then streams "a" are unknown

    Examples:
      | left |
      | 15   |
      | 40   |

  Scenario: a stream that is taken up is known for longer
    Given a table of streams
    When streams "a" of version "v1" begin with 15 s left
    And 10 s pass for the table
    And streams "a" of version "v1" begin with 15 s left
    And 12 s pass for the table
    Then streams "a" are known as "v1"

  Scenario: each stream is told to each audience once, and is known where it is told
    Given a table of streams
    When streams "a, b" of version "v1" begin with 15 s left
    And streams "c" of version "v2" begin with 5 s left
    Then the table tells "near" 3 streams of 2 versions, then none
    And the table tells "far" 3 streams of 2 versions, then none
    And another table that is told them knows "a, b" as "v1" and "c" as "v2"

  Scenario: a report tells some hundred streams at most, and the next one the rest
    Given a table of streams
    When 700 streams begin with 15 s left
    Then the table tells "near" 512 streams of 1 version, then 188

  # Guards against a table that grows with the callers of a day.
  Scenario: a full table drops the streams that end first
    Given a table of streams for 1000 entries
    When streams "long" of version "v1" begin with 90 s left
    And 3000 streams begin with 15 s left
    Then the table has 1000 entries
    And streams "long" are known as "v1"

  Scenario: what VMs tell is bounded
    Given a table of streams
    When another VM tells streams "a" of version "v1" with 100000 s left
    And 140 s pass for the table
    Then streams "a" are unknown

  Scenario: a server that names no version has none that a stream could go on at
    Then the key of version "" is the unknown one
    And versions "v1" and "v1.1" have different keys
    And version "v1" of two services has different keys

  Scenario Outline: a stream's version is concluded from what VMs answer
    When this VM says "<own>", the store confirms <store>, and others answer "<answers>"
    Then the stream's version is "<version>"

    Examples:
      # Each answer is the version that the VM knows the stream by, and the only one there has been.
      | own     | store   | answers                    | version |
      | nothing | it      | v1/nothing                 | v1      |
      | several | it      | v1/several, -/several      | v1      |
      | several | it      | v1/several, v2/several     | -       |
      | several | it      | -/several                  | -       |
      | v1      | it      | -/v1, -/v1                 | v1      |
      | v1      | it      | -/v1, -/several            | -       |
      | several | it      | -/v1                       | -       |
      | nothing | it      | -/v1                       | v1      |
      | nothing | it      | -/nothing                  | -       |
      | v1      | it      | -/v2                       | -       |
      | v1      | it      | v2/several                 | v2      |
      | v1      | it      |                            | v1      |
      | v1      | it      | silent, -/v1               | v1      |
      | v1      | it      | silent, v2/several         | v2      |
      # Guards against a VM that knows one of a stream's two versions and is believed.
      | several | it      | both/several, v1/several   | -       |
      | several | it      | v1/several, both/several   | -       |
      | v1      | it      | both/v1                    | -       |
      # Guards against a VM that is cut off and knows of one version only.
      | v1      | it      | silent, silent             | -       |
      | nothing | it      |                            | -       |
      # Guards against a version that came and went before a VM that has just started read the store.
      | nothing | it      | -/v1 earlier               | -       |
      | nothing | it      | -/v1 earlier, -/v1         | v1      |
      # Guards against a version that came and went before a VM which has been in step for seconds only.
      | v1 lately | it    | silent, -/v1               | -       |
      | v1 lately | it    | -/several, -/v1            | -       |
      | v1 lately | it    | -/v1, -/v1                 | v1      |
      # Guards against words from before the question: without the store, each VM has to say it.
      | v1      | nothing | -/v1, -/v1                 | v1      |
      | v1      | nothing |                            | v1      |
      | v1      | nothing | silent, -/v1               | -       |
      | v1      | nothing | -/nothing, -/v1            | -       |
      | v1      | nothing | -/v1, -/several            | -       |
      | nothing | nothing | -/v1                       | -       |
      # Guards against the VMs' word going before the store's.
      | v1      | it later | -/v1, -/v1                | -       |
      | v1      | nothing | silent, v1/v1              | v1      |
      | v1      | nothing | silent, v2/several         | v2      |

  Scenario: a version counts until a minute after its last server
    Given a history of versions
    Then there was no sole version
    When servers of version "v1" come "2"
    Then the sole version is "v1"
    When servers of version "v2" come "1"
    Then there was no sole version
    When servers of version "v1" go "1"
    And 60 s pass for the history
    Then there was no sole version
    When servers of version "v1" go "1"
    And 59 s pass for the history
    Then there was no sole version
    When 1 s pass for the history
    Then the sole version is "v2"

  # Guards against a history that grows with each release of a service whose streams nobody takes up.
  Scenario: versions that are gone are dropped though nobody asks
    Given a history of versions
    When 100 versions come and go, one each 61 s
    Then 1 version that is gone is kept
