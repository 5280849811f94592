Feature: every error kind has a defined response

  Scenario: every kind has a response, and a retry elsewhere is offered only if nothing ran
    Then every error kind has a row in the table
    And every response that asks for a retry elsewhere says that nothing ran
