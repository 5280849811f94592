Feature: buckets, loans and shares, one safeguard at a time

  Scenario: a refund is limited by the room that the bucket had since the admission
    # Long requests use nothing of their cost. Refunds in full would allow a second burst beside
    # the one refilled in the meantime.
    Given a share bucket of capacity 100 and rate 10, full
    When 100 tokens are taken from the share bucket as admission 1
    And 10000 ms pass for the share bucket
    And 100 tokens are taken from the share bucket as admission 2
    And 100 tokens of admission 1 are refunded to the share bucket
    Then the share bucket holds 0 tokens
    When 60 tokens of admission 2 are refunded to the share bucket
    Then the share bucket holds 60 tokens

  Scenario: a loan's duration counts from the borrower's request
    # The grant arrives late. If its duration counted from the arrival, the loan would still be
    # spent after the lender has its capacity back.
    Given a share borrower with a loan of 50 tokens for 2000 ms, requested at 0 and received at 1500
    Then the share borrower has 50 tokens at 1999
    And the share borrower has 0 tokens at 2000

  Scenario: a lender gets its capacity back late, and only once
    Given a share lender with a full bucket of 100 and rate 1000 that lent 60 and 40 tokens for 2000 ms at 0
    Then the share lender's bucket holds 0 tokens at 2999
    When the share lender receives two reports at 2999 that loan 1 has 60 tokens left
    Then the share lender's bucket holds 60 tokens at 2999
    And the share lender's bucket holds 60 tokens at 5000
    And the share lender's bucket holds 100 tokens at 5040

  Scenario: a lowered burst shrinks loans granted before
    Given a share borrower with a loan of 50 tokens for 2000 ms, requested at 0 and received at 100
    When the share borrower's account is lowered to a tenth of its burst
    Then the share borrower has 5 tokens at 200

  Scenario: a share doesn't grow while a lost write may still take effect
    # The write that transfers 400000 parts got no response, and a read still shows them at its
    # sender. Used again, they would be used twice if the write takes effect after all.
    Given a share group in which "me" holds 1000000 parts at revision 5
    When "me" transfers 400000 parts to "other" in a write that gets no response
    And the share group is read unchanged at revision 5
    Then "me" may use 600000 parts
    When the share group is read unchanged at revision 6
    Then "me" may use 1000000 parts

  Scenario Outline: a dead holder's share is taken over within its data centre only
    Given a share group in which "dead" of data centre "a" holds 1000000 parts
    When "me" of data centre "<data centre>" takes over from "dead"
    Then the share group holds <parts> parts for "me"

    Examples:
      | data centre | parts   |
      | a           | 1000000 |
      | b           | 0       |

  Scenario: parts that open loans occupy are not transferred
    Given a share group in which "me" holds 1000000 parts at revision 5
    When "me" plans transfers to a borrower of the whole rate, with 900000 parts under loans
    Then the plan leaves "me" at least 900000 parts

  Scenario Outline: a neighbour's share is taken over only once it surely can't be spent
    # Its lease expired at 0. It may still be live, this VM may have promised it not to take over,
    # and loans that it granted just before may still be spent elsewhere.
    Given a share take-over monitor that waits 3000 ms
    And the share take-over monitor promised at 0 not to take over for <promise> ms
    When the share take-over monitor observes the holder every 500 ms until <until>, live until <live>
    Then the share take-over monitor decides <verdict>

    Examples:
      | promise | live  | until | verdict    |
      | 0       | 0     | 2500  | leave it   |
      | 0       | 0     | 3500  | take over  |
      | 0       | 4000  | 4000  | leave it   |
      | 0       | 4000  | 6500  | leave it   |
      | 0       | 4000  | 7500  | take over  |
      | 6000    | 0     | 5500  | leave it   |
      | 6000    | 0     | 8500  | leave it   |
      | 6000    | 0     | 9500  | take over  |
