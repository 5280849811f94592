from __future__ import annotations

from behave import given, then, when

from hickorybeam.model import VmId
from hickorybeam.policy.loans import Borrower, ClosedLoan, Lender, Loan
from hickorybeam.policy.rebalance import AccountDemand, plan_transfers
from hickorybeam.policy.shares import (
    PARTS_PER_ACCOUNT,
    GroupLedger,
    GroupShares,
    Holder,
    HolderParts,
    take_over,
    transfer_parts,
)
from hickorybeam.policy.spending_lease import TakeOverMonitor
from hickorybeam.policy.token_bucket import TokenBucket

LENDER = VmId("lender", "1")
BURST = 100.0


@given("a share bucket of capacity {capacity:d} and rate {rate:d}, full")
def step_bucket(context, capacity, rate):
    context.now = 0
    context.bucket = TokenBucket(capacity=capacity, rate=rate, now_ms=0)
    context.bucket.fill(capacity, 0)


@when("{tokens:d} tokens are taken from the share bucket as admission {admission:d}")
def step_take(context, tokens, admission):
    assert context.bucket.take(tokens, context.now, admission)


@when("{ms:d} ms pass for the share bucket")
def step_time(context, ms):
    context.now += ms


@when("{tokens:d} tokens of admission {admission:d} are refunded to the share bucket")
def step_refund(context, tokens, admission):
    context.bucket.refund(tokens, context.now, admission)


@then("the share bucket holds {tokens:d} tokens")
def step_holds(context, tokens):
    assert context.bucket.level(context.now) == tokens, context.bucket.level(context.now)


@given(
    "a share borrower with a loan of {tokens:d} tokens for {ms:d} ms, "
    "requested at {sent:d} and received at {at:d}"
)
def step_borrower(context, tokens, ms, sent, at):
    context.borrower = Borrower()
    loan = Loan(1, "acme", tokens, BURST, ms)
    context.borrower.receive(LENDER, loan, sent_ms=sent, now_ms=at, burst=BURST)


@when("the share borrower's account is lowered to a tenth of its burst")
def step_lowered(context):
    context.borrower.rescale("acme", BURST / 10)


@then("the share borrower has {tokens:d} tokens at {at:d}")
def step_borrowed(context, tokens, at):
    assert context.borrower.available("acme", at) == tokens


@given(
    "a share lender with a full bucket of {capacity:d} and rate {rate:d} "
    "that lent {one:d} and {two:d} tokens for {ms:d} ms at 0"
)
def step_lender(context, capacity, rate, one, two, ms):
    step_bucket(context, capacity, rate)
    context.lender = Lender(duration_ms=ms, margin_ms=1_000)
    for tokens in (one, two):
        context.lender.grant("acme", context.bucket, tokens, 0, burst=BURST)


@when(
    "the share lender receives two reports at {at:d} that loan {number:d} has {left:d} tokens left"
)
def step_reported_twice(context, at, number, left):
    for _ in range(2):
        context.lender.close(ClosedLoan(number, left), {"acme": context.bucket}, at)


@then("the share lender's bucket holds {tokens:d} tokens at {at:d}")
def step_lender_holds(context, tokens, at):
    context.lender.expire({"acme": context.bucket}, at)
    assert context.bucket.level(at) == tokens, context.bucket.level(at)


def holder(name, data_centre="a"):
    return Holder(VmId(name, "1"), data_centre)


@given('a share group in which "{name}" of data centre "{data_centre}" holds {parts:d} parts')
def step_group(context, name, data_centre, parts):
    entry = HolderParts(holder(name, data_centre), {"acme": parts})
    context.ledger = GroupLedger(("acme",), (entry,))


@given('a share group in which "{name}" holds {parts:d} parts at revision {revision:d}')
def step_group_at(context, name, parts, revision):
    step_group(context, name, "a", parts)
    context.shares = GroupShares(holder(name))
    context.shares.apply_read(revision, context.ledger)


@when('"{name}" transfers {parts:d} parts to "{other}" in a write that gets no response')
def step_lost_write(context, name, parts, other):
    planned = transfer_parts(context.ledger, holder(name), holder(other), "acme", parts)
    context.shares.shrink_to(planned)
    context.shares.mark_write_in_doubt()


@when("the share group is read unchanged at revision {revision:d}")
def step_read(context, revision):
    context.shares.apply_read(revision, context.ledger)


@then('"{name}" may use {parts:d} parts')
def step_may_use(context, name, parts):
    assert context.shares.usable_parts("acme") == parts, context.shares.usable_parts("acme")


@when('"{name}" of data centre "{data_centre}" takes over from "{dead}"')
def step_take_over(context, name, data_centre, dead):
    context.ledger = take_over(context.ledger, holder(name, data_centre), holder(dead))


@then('the share group holds {parts:d} parts for "{name}"')
def step_holds_parts(context, parts, name):
    assert context.ledger.parts(VmId(name, "1"), "acme") == parts


@when(
    '"{name}" plans transfers to a borrower of the whole rate, with {reserved:d} parts under loans'
)
def step_plan(context, name, reserved):
    borrower = holder("borrower", "b")
    demand = AccountDemand(
        account_rate=100.0, lent_rates={borrower: 100.0}, reserved_parts=reserved
    )
    planned = (holder(name), borrower)
    ledger = context.ledger
    for _ in range(20):
        ledger = plan_transfers(ledger, holder(name), planned, {"acme": demand}, floor=0.05)
    context.plan = ledger
    assert ledger.parts(borrower.vm, "acme") > 0
    assert (
        ledger.parts(holder(name).vm, "acme") + ledger.parts(borrower.vm, "acme")
        == PARTS_PER_ACCOUNT
    )


@then('the plan leaves "{name}" at least {parts:d} parts')
def step_plan_leaves(context, name, parts):
    left = context.plan.parts(VmId(name, "1"), "acme")
    assert left >= parts, left


@given("a share take-over monitor that waits {ms:d} ms")
def step_monitor(context, ms):
    context.monitor = TakeOverMonitor(settle_ms=ms)


@given("the share take-over monitor promised at 0 not to take over for {ms:d} ms")
def step_promised(context, ms):
    if ms:
        context.monitor.promise("holder", 0, ms)


@when(
    "the share take-over monitor observes the holder every {every:d} ms until {until:d}, "
    "live until {live_until:d}"
)
def step_observes(context, every, until, live_until):
    for now in range(0, until + 1, every):
        is_live = bool(live_until) and now <= live_until
        context.verdict = context.monitor.observe("holder", now, lease_lapsed=True, alive=is_live)


@then("the share take-over monitor decides {verdict}")
def step_verdict(context, verdict):
    assert context.verdict is (verdict == "take over")
