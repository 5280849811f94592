Feature: the pages tell what the code does

  Scenario: the operators' reference is what the code would write now
    Then docs/operators/reference.md is what tools/make_reference.py writes

  Scenario: every command shown in the pages is one that the command line knows
    Then each "hickorybeam" line of README.md and docs/ names a known command with known options

  Scenario: every page that a page links to is there
    Then each link of README.md, CONTRIBUTING.md and docs/ leads to a file

  Scenario: example files that the pages name are right
    Then each examples/ path in README.md and docs/ passes its check
