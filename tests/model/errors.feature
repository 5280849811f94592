Feature: one closed list of error kinds

  Scenario: every kind has its answer and only refusals known not to have run say so
    Then every error kind has a row in the table
    And every answer that asks for a retry elsewhere says that nothing ran
