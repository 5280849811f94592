from __future__ import annotations

from behave import given, then, when
from tests.steps.policy.spread_fleet import BURST, RATE, WINDOW_MS, SpreadFleet

ALLOWANCE = 100.0
MAX_IN_A_WINDOW = 1.1 * (RATE * WINDOW_MS / 1000 + BURST) + ALLOWANCE


@given(
    "{vms:d} VMs in {centres:d} data centres that report to each other at such a fleet's intervals"
)
def step_spread(context, vms, centres):
    context.spread = SpreadFleet(vms, centres, allowance=ALLOWANCE)
    context.spread.run(4_000)


@when("the account sends {times:g} times its rate for {seconds:d} s, at random VMs")
def step_send_spread(context, times, seconds):
    context.spread.run(seconds * 1000, times)


@when(
    "{isolated:d} VMs are isolated for the last {last:d} of {seconds:d} s"
    " of {times:g} times its rate"
)
def step_send_isolated(context, isolated, last, seconds, times):
    context.spread.run((seconds - last) * 1000, times)
    context.spread.cut_off(isolated)
    context.spread.run(last * 1000, times)


@then("no window of 8 s spends over 1.1 times rate and burst plus the allowance")
def step_spread_limit(context):
    spent = context.spread.most_in_a_window()
    assert spent <= MAX_IN_A_WINDOW, spent
