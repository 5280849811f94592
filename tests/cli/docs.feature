Feature: the documentation matches the code

  Scenario: the operators' reference is up to date
    Then docs/operators/reference.md is what tools/make_reference.py writes

  Scenario: every command shown in the documentation exists with its options
    Then each "hickorybeam" line of README.md and docs/ names a known command with known options

  Scenario: every linked file exists
    Then each link of README.md, CONTRIBUTING.md and docs/ leads to a file

  Scenario: example files named in the documentation are valid
    Then each examples/ path in README.md and docs/ passes its check
