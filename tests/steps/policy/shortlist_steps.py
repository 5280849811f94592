from __future__ import annotations

import random
from collections import deque

from behave import given, then, when

from hickorybeam.model.routing import RegisteredServer
from hickorybeam.policy.server_choice import ServerState, expected_wait_ms
from hickorybeam.policy.shortlist import Shortlist

NOW = 100_000
# Milliseconds between two prompts.
STEP_MS = 2
PROMPT_TOKENS = 1_000


def make_servers(context, count, slots):
    context.servers = [
        ServerState(
            RegisteredServer(
                id=f"s{number:03}",
                service="m",
                host="h",
                port=1,
                data_centre="d",
                slots=slots,
            )
        )
        for number in range(count)
    ]
    context.shortlist, context.now, context.rng = Shortlist(), NOW, random.Random(2)


@given("{count:d} servers of {slots:d} slots, some busier than others")
def step_servers(context, count, slots):
    make_servers(context, count, slots)
    for state in context.servers:
        state.own_requests = context.rng.randrange(slots)
        state.own_prefill_tokens = state.own_requests * PROMPT_TOKENS


@given("{count:d} servers of {slots:d} slots, all of them full")
def step_full(context, count, slots):
    make_servers(context, count, slots)
    for state in context.servers:
        state.own_requests = 10 * slots


def listed(context):
    return context.shortlist.candidates(context.servers, context.now)


@then("a prompt is held against at most {most:d} of them")
def step_most(context, most):
    assert 0 < len(listed(context)) <= most


@when("{count:d} prompts are placed there, each as soon as an earlier one ends")
def step_place(context, count):
    for state in context.servers:
        state.own_requests, state.own_prefill_tokens = 0, 0
    running = deque()
    context.missed, context.chosen_ms, context.best_ms = 0, 0.0, 0.0
    while count:
        context.now += STEP_MS
        with_room = [it for it in context.servers if it.has_room(0, context.now)]
        if len(with_room) <= len(context.servers) // 10:
            ended = running[context.rng.randrange(len(running))]
            running.remove(ended)
            ended.own_requests -= 1
            ended.own_prefill_tokens -= PROMPT_TOKENS
            context.shortlist.offer(ended)
            with_room = [it for it in context.servers if it.has_room(0, context.now)]
        found = [it for it in listed(context) if it.has_room(0, context.now)]
        if not found:
            context.missed += not context.shortlist.may_miss(context.servers, any_usable=True)
            found = with_room
        chosen = min(found, key=lambda it: expected_wait_ms(it, 0, context.now))
        context.chosen_ms += expected_wait_ms(chosen, PROMPT_TOKENS, context.now)
        context.best_ms += min(expected_wait_ms(it, PROMPT_TOKENS, context.now) for it in with_room)
        chosen.own_requests += 1
        chosen.own_prefill_tokens += PROMPT_TOKENS
        running.append(chosen)
        count -= 1


@then("no prompt found all listed servers full while another had room")
def step_missed(context):
    assert not context.missed, context.missed


@then(
    "the waits at the chosen servers are at most {times:g} times those of the best ones on average"
)
def step_waits(context, times):
    assert context.chosen_ms <= times * context.best_ms, (context.chosen_ms, context.best_ms)


@then("the others are looked at if {which} of the listed servers may be used")
def step_others_looked_at(context, which):
    listed(context)
    assert context.shortlist.may_miss(context.servers, any_usable=which != "none") == (
        which == "none"
    )


@when("a request ends at one server")
def step_ends(context):
    listed(context)
    context.freed = context.servers[-1]
    context.freed.own_requests = 0
    context.shortlist.offer(context.freed)


@then("that server is among those that the next prompt is held against")
def step_listed(context):
    assert context.freed in listed(context)


@when("the least busy server leaves")
def step_leaves(context):
    listed(context)
    context.freed = min(context.servers, key=lambda it: it.own_requests)
    context.servers = [it for it in context.servers if it is not context.freed]


@when("a prompt is placed, and then the last request of the server that left ends")
def step_last_ends(context):
    listed(context)
    context.shortlist.offer(context.freed)


@then("it is not among those that the next prompt is held against")
def step_not_listed(context):
    assert context.freed not in listed(context)
