from __future__ import annotations

from behave import given, then, when
from tests.steps.policy.spread_fleet import BURST, RATE, WINDOW_MS, SpreadFleet

ALLOWANCE = 100.0
MOST = 1.1 * (RATE * WINDOW_MS / 1000 + BURST) + ALLOWANCE


@given("{vms:d} VMs in {centres:d} data centres that tell each other what such a fleet tells")
def step_spread(context, vms, centres):
    context.spread = SpreadFleet(vms, centres, allowance=ALLOWANCE)
    context.spread.run(4_000)


@when("the account sends {times:g} times its rate for {seconds:d} s, at VMs by chance")
def step_send_spread(context, times, seconds):
    context.spread.run(seconds * 1000, times)


@when("{cut:d} VMs hear nobody for the last {last:d} of {seconds:d} s of {times:g} times its rate")
def step_send_cut(context, cut, last, seconds, times):
    context.spread.run((seconds - last) * 1000, times)
    context.spread.cut_off(cut)
    context.spread.run(last * 1000, times)


@then("no window of 8 s spends more than 1.1 times rate and burst and the allowance besides")
def step_spread_bound(context):
    most = context.spread.most_in_a_window()
    assert most <= MOST, most
