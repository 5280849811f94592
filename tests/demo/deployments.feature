Feature: both example deployments run from their files

  Scenario Outline: callers are served, refused, cut off and healed
    # Every entry VM runs in one process over loopback TCP; each region reaches the others and
    # the platform through relays. The last region's relays are cut while its callers ask, and
    # a ticket is accepted elsewhere; after the relays pass again the region catches up.
    When the story of example "<deployment>" is told
    Then the story says "ticket 1 in force on 9 entry VMs"
    And the story says "words streamed" 3 times
    And the story says "answers [201, 201], run 1 time(s)"
    And the story says "421 residency, named instead: ['http"
    And the story says "'rate_limited':"
    And the story says "{200} while issued, {401}"
    And the story says "answers its own caller" 2 times
    And the story says "the ticket accepted meanwhile is in force there"

    Examples:
      | deployment    |
      | tour-de-terre |
      | umoja         |

  Scenario Outline: a region that is cut off right after the first ticket serves its own callers
    # Nothing has been asked for yet when the region is cut. Its VMs have the model's engines and
    # their parts of the account that the ticket made, and go on by themselves.
    When the first ticket of example "<deployment>" is in force and a region is cut at once
    Then the story says "answers its own caller" 2 times
    And the story says "the ticket accepted meanwhile is in force there"

    Examples:
      | deployment    |
      | tour-de-terre |
      | umoja         |
