Feature: an invalid change ticket is refused with all its faults

  Scenario Outline: a single fault is reported with its object
    Given a configuration with region "here" with data centre "h1", rule "eu" for it, account "shop" under the rule, a key of "shop", model "base" and engine "e1"
    When a ticket is checked that <change>
    Then the faults reported are exactly "<fault>"

    Examples:
      | change                                   | fault |
      | places rule "eu" in region "there"       | residency_rules 'eu': refers to regions 'there', which does not exist |
      | empties rule "eu"                        | residency_rules 'eu': regions: expected at least one |
      | puts account "shop" under rule "none"    | accounts 'shop': refers to residency_rules 'none', which does not exist |
      | adds a key of account "nobody"           | keys 'bbbbbbbb': refers to accounts 'nobody', which does not exist |
      | names a key by its secret                | keys 'sk-secre': name: expected the key's SHA-256 digest in lower-case hex |
      | deletes region "here"                    | regions 'here': deleted, but residency_rules 'eu' refers to it; regions 'here': deleted, but models 'base' refers to it; regions 'here': deleted, but backends 'e1' refers to it |
      | deletes account "shop"                   | accounts 'shop': deleted, but keys 'aaaaaaaa' refers to it |
      | deletes account "ghost"                  | accounts 'ghost': deleted, but it never existed |
      | deletes a "planet"                       | deleted: unknown kind 'planet' |
      | gives account "shop" rate nan            | accounts 'shop': rate: expected a finite number of at least 0, found nan |
      | gives account "shop" rate inf            | accounts 'shop': rate: expected a finite number of at least 0, found inf |
      | gives account "shop" rate -1             | accounts 'shop': rate: expected a finite number of at least 0, found -1.0 |
      | gives account "shop" weight 0            | accounts 'shop': weight: expected a finite number above 0, found 0.0 |
      | moves engine "e1" to data centre "h9"    | backends 'e1': data centre 'h9' is not in region 'here' |
      | gives engine "e1" host "engine.example"  | backends 'e1': host: expected an IP number, found 'engine.example' |
      | gives engine "e1" port 0                 | backends 'e1': port: expected 1 to 65535, found 0 |
      | lets engine "e1" serve "other"           | backends 'e1': refers to models 'other', which does not exist |
      | makes model "base" an adapter of itself  | models 'base': adapter_of: 'base' is an adapter itself |
      | routes host "Shop" to service "desk"     | routes 'way': host: expected lower-case letters, digits, dots and hyphens, found 'Shop' |
      | routes path "/a" to service "desk"       | routes 'way': prefix: expected a path that begins and ends with a slash, found '/a' |
      | routes path "/v1/x/" to service "desk"   | routes 'way': prefix: paths under '/v1/' are the gateway's own |
      | routes path "/a/" to service "none"      | routes 'way': refers to services 'none', which does not exist |
      | routes path "/a/" twice                  | routes 'way': 'other' has the same host and prefix |
      | touches nothing                          | the ticket touches no object |
      | has number 0                             | number: expected 1 to 9007199254740991, found 0 |
      | adds a model of 910000 bytes             | the ticket has 910236 bytes, at most 900000 are allowed |
      | sets account "shop" twice                | accounts 'shop': stands 2 times in the ticket |

  Scenario: all faults of one ticket are reported at once
    Given a configuration with region "here" with data centre "h1", rule "eu" for it, account "shop" under the rule, a key of "shop", model "base" and engine "e1"
    When a ticket is checked that has three faulty objects
    Then 3 faults are reported

  Scenario: one ticket replaces a region and everything that refers to it
    Given a configuration with region "here" with data centre "h1", rule "eu" for it, account "shop" under the rule, a key of "shop", model "base" and engine "e1"
    When a ticket is checked that moves everything from region "here" to region "there"
    Then 0 faults are reported

  Scenario: tickets in any order, repeated, late, dropped and compacted
    # Operators submit numbers in any order. Responses are lost, so tickets are sent again with
    # the same or other content. VMs replay the log with a lag, and some start from a snapshot.
    # An oracle that keeps only the list of accepted tickets gives the expected state of each VM.
    Then the state machine test of the ticket log passes 120 runs of 60 steps

  Scenario: parts of a snapshot stay below the platform's limit and decode to the same state
    Given a log of 3000 tickets of 1000 bytes
    Then its snapshot has more than 3 parts below 1000000 bytes
    And decoding its snapshot gives the same state
