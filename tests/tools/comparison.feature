Feature: variants of the sources are compared in pairs

  Scenario: a difference is taken between plays of the same day and seed only
    Given plays of a site
      | variant | day   | seed | worth |
      | base    | heavy | 1    | 0.50  |
      | base    | heavy | 2    | 0.70  |
      | base    | quiet | 1    | 0.90  |
      | new     | heavy | 1    | 0.54  |
      | new     | heavy | 2    | 0.76  |
    Then variant "new" differs by 0.0500 with standard error 0.0100 over 2 pairs
    And no verdict is given

  # Guards against a play that was given up being taken for a play that earned nothing.
  Scenario: a play without figures is named, and left out of the means
    Given plays of a site
      | variant | day   | seed | worth | problem      |
      | base    | heavy | 1    | 0.50  |              |
      | base    | heavy | 2    | 0.70  |              |
      | new     | heavy | 1    | 0.54  |              |
      | new     | heavy | 2    |       | day given up |
    Then variant "new" differs by 0.0400 with standard error nan over 1 pairs
    And the verdicts are
      | line                                     |
      | new, site, heavy, seed 2: day given up   |

  Scenario: a broken rule is named though the play has figures
    Given plays of a site
      | variant | day   | seed | worth | problem | complete |
      | base    | heavy | 1    | 0.50  |         | yes      |
      | new     | heavy | 1    | 0.60  | QUOTA 1 | yes      |
    Then the verdicts are
      | line                                |
      | new, site, heavy, seed 1: QUOTA 1   |

  Scenario Outline: a site that fell counts only beyond the tolerance and beyond chance
    Given a base of 0.5 and a variant whose plays differ by <differences>
    Then the variant is judged <verdict>

    Examples:
      | differences         | verdict |
      | -0.05, -0.04, -0.06 | worse   |
      | -0.02, -0.02, -0.02 | equal   |
      | -0.20, 0.05, 0.04   | equal   |
      | 0.05, 0.04, 0.06    | equal   |
      | -0.50               | equal   |
