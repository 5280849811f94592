Feature: the end of the test output names each failure

  # Guards against a failure that nobody can name, as only the end of the output was kept.
  Scenario: a scenario that failed is named with its step and reason
    Given a feature "a.feature" that printed
      """
      FAILURE in step 'it holds' (a.feature:3):
      ASSERT FAILED: 2 of 3
      --------------------

      Failing scenarios:
        a.feature:2  it holds always

      0 features passed, 1 failed, 0 skipped
      """
    Then the end of the test output names
      | line                                      |
      |   a.feature:2  it holds always            |
      | FAILURE in step 'it holds' (a.feature:3): |
      | ASSERT FAILED: 2 of 3                     |

  Scenario: a feature that ended before its first scenario is named with its last lines
    Given a feature "a.feature" that printed
      """
      ParserError: no feature
      """
    Then the end of the test output names
      | line                    |
      |   a.feature             |
      | ParserError: no feature |
