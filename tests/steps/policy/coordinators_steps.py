from __future__ import annotations

from functools import cache

from behave import given, then
from bench.load.many_vms import Pattern, play

from hickorybeam.policy.coordinators import rank_coordinators

SEED = 1
simulate = cache(play)


@given('VMs "{names}" of a region')
def step_vms(context, names):
    context.vms = dict.fromkeys(names.split(", "), 1.0)


@then('they agree on a ranking of {count:d} VMs for service "{service}"')
def step_agree(context, count, service):
    ranking = rank_coordinators(service, context.vms)
    assert len(ranking) == count
    assert ranking == rank_coordinators(service, dict(reversed(context.vms.items())))


@then('without its first VM the ranking for "{service}" is the same otherwise')
def step_next(context, service):
    first, *rest = rank_coordinators(service, context.vms)
    assert rank_coordinators(service, {it: 1.0 for it in context.vms if it != first}) == rest


@then('for "{one}" and "{other}" the ranking is not the same')
def step_spread(context, one, other):
    assert rank_coordinators(one, context.vms) != rank_coordinators(other, context.vms)


@given('VM "{name}" has {times:g} times the processor of the others')
def step_strong(context, name, times):
    context.vms[name] *= times


@then('"{name}" coordinates every one of {count:d} services')
def step_strong_coordinates(context, name, count):
    assert all(rank_coordinators(str(it), context.vms)[0] == name for it in range(count))


@then("each VM coordinates some of {count:d} services")
def step_each_coordinates(context, count):
    assert {rank_coordinators(str(it), context.vms)[0] for it in range(count)} == set(context.vms)


@then('no VM coordinates "{service}"')
def step_none(context, service):
    assert rank_coordinators(service, context.vms) == []


@given(
    "{vms:d} VMs before {servers:d} servers, "
    "asked for {questions:d} questions and {prompts:d} prompts a second"
)
def step_pattern(context, vms, servers, questions, prompts):
    context.pattern = Pattern(
        vms=vms, servers=servers, questions_per_s=questions, prompts_per_s=prompts
    )


def on_time_percent(context, *, coordinated):
    found = simulate(context.pattern, one_places=coordinated, seed=SEED)
    return found.punctual * 100 / found.asked


@then("with a coordinator at least {share:d} of 100 callers are served on time")
def step_coordinated(context, share):
    found = on_time_percent(context, coordinated=True)
    assert found >= share, found


@then("with a coordinator no server rejects a request")
def step_rejected(context):
    found = simulate(context.pattern, one_places=True, seed=SEED)
    assert found.rejected == 0, found


@then("when each VM chooses, fewer than {share:d} of 100 are")
def step_each(context, share):
    found = on_time_percent(context, coordinated=False)
    assert found < share, found
