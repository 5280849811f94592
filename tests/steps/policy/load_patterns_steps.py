from __future__ import annotations

from dataclasses import replace
from functools import cache

from behave import then, when
from bench.load.scenarios import SCENARIOS, run

# Runs are shorter than those of the benchmark, except where a region returns at 15 s.
END_MS = 14_000.0
LONG_PATTERNS = ("region lost, returned", "burst 4x for 2 s")
# A 99th percentile of one run depends on a handful of calls; for these, several runs count.
TAIL_PATTERNS = ("healthy", "slow engine 10x", "short without long", "long among short")
TAIL_SEEDS = (1, 2, 3, 4, 5)


@cache
def result_of(name, policy):
    scenario = next(found for found in SCENARIOS if found.name == name)
    if name in TAIL_PATTERNS:
        return run(scenario, policy, TAIL_SEEDS)
    if name not in LONG_PATTERNS:
        scenario = replace(scenario, end=END_MS)
    return run(scenario, policy, TAIL_SEEDS[:1])


@when('load pattern "{name}" runs under "{policy}"')
def step_run(context, name, policy):
    context.load = result_of(name, policy)


@when('load pattern "{name}" runs under "{policy}" after it')
def step_run_after(context, name, policy):
    context.first_load = context.load
    context.load = result_of(name, policy)


@then("at least {share:g} of the worst-served account's load calls are answered")
def step_worst(context, share):
    assert context.load.worst >= share, context.load


@then("at most {share:g} of the worst-served account's load calls are answered")
def step_worst_at_most(context, share):
    assert context.load.worst <= share, context.load


@then("no load call is refused while slots are idle")
def step_idle(context):
    assert context.load.refused_idle == 0, context.load


@then("no load call is answered too late")
def step_late(context):
    assert context.load.late == 0, context.load


@then("the load goodput is at least {share:g} of the first run's")
def step_goodput(context, share):
    assert context.load.goodput >= share * context.first_load.goodput, context.load


@then("the load 99th percentile is at most {factor:g} times the first run's")
def step_p99(context, factor):
    assert context.load.p99 <= factor * context.first_load.p99, (context.load, context.first_load)


@then("the load sent to another region turns at most {count:d} times")
def step_turns(context, count):
    assert context.load.swings <= count, context.load
