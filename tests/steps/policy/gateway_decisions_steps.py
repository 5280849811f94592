from __future__ import annotations

import random
from dataclasses import replace

from behave import given, then, when

from hickorybeam.model.routing import (
    PromptPart,
    RegisteredServer,
    Repeat,
    Route,
    WeightedService,
)
from hickorybeam.policy.first_byte_timeout import first_byte_timeout_ms
from hickorybeam.policy.fleet_retry_budget import FleetRetryBudget, FleetRetryLimits
from hickorybeam.policy.route_table import RouteTable, pick_target
from hickorybeam.policy.server_choice import ServerState, choose_server, expected_wait_ms
from hickorybeam.policy.server_rate import (
    ShareLimiter,
    cold_rate_limit,
    limited_server_senders,
    named_rate_limit,
)

NOW = 1_000_000


def plain_route(host, prefix, targets=()):
    return Route(
        name=prefix, host=host, prefix=prefix, repeat=Repeat.IDEMPOTENT, targets=tuple(targets)
    )


@given('routes for prefixes "{first}" of host "{a}" and "{second}" of host "{b}"')
def step_routes(context, first, a, second, b):
    routes = [plain_route(a, each.strip()) for each in first.split(",")]
    context.routes = RouteTable([*routes, plain_route(b, second)])


@then('host "{host}" and path "{path}" match "{name}"')
def step_match(context, host, path, name):
    found = context.routes.match(host, path)
    assert (found.name if found else "none") == name, found


@given('routes of one host bound to "{bound}"')
def step_bound(context, bound):
    routes = []
    for number, homes in enumerate(bound.split(",")):
        regions = frozenset(homes.strip().split("+")) - {"-"}
        routes.append(replace(plain_route("x", f"/{number}/"), homes=regions))
    context.routes = RouteTable(routes)


@then('the host\'s home regions are "{homes}"')
def step_homes(context, homes):
    assert (", ".join(context.routes.homes("x")) or "none") == homes


@given('a route split {a:d} to "{first}" and {b:d} to "{second}"')
def step_split(context, a, first, b, second):
    targets = (WeightedService(first, a), WeightedService(second, b))
    context.split = plain_route("x", "/", targets)


@then('of {count:d} evenly spaced fractions {a:d} pick "{first}" and {b:d} pick "{second}"')
def step_fractions(context, count, a, first, b, second):
    found = [pick_target(context.split, number / count) for number in range(count)]
    assert (found.count(first), found.count(second)) == (a, b)


@given("a retry budget of {ratio:g} and {allowance:d} in 10 s for {vms:d} VMs")
def step_budget(context, ratio, allowance, vms):
    limits = FleetRetryLimits(ratio=ratio, allowance=allowance, window_ms=10_000)
    context.budgets = [FleetRetryBudget(limits) for _ in range(vms)]
    context.ratio, context.allowance = ratio, allowance


@when("each VM gets {rate:d} failing requests a second for {seconds:d} s")
def step_failing(context, rate, seconds):
    context.requests, context.retries = [], []
    vms = len(context.budgets)
    for number in range(rate * seconds):
        at = number * 1000 // rate
        for budget in context.budgets:
            budget.record_request(at, vms)
            context.requests.append(at)
            if budget.take(at, vms):
                context.retries.append(at)


@then("every window of 10 s holds at most {ratio:g} of its requests and {allowance:d} retries")
def step_window(context, ratio, allowance):
    for begin in range(0, 30_000, 250):
        inside = range(begin, begin + 10_000)
        requests = sum(at in inside for at in context.requests)
        retries = sum(at in inside for at in context.retries)
        assert retries <= ratio * requests + allowance, (begin, retries, requests)


@then("at least {least:d} retries were made in all")
def step_least(context, least):
    assert len(context.retries) >= least, len(context.retries)


@given("a cold server that is allowed {per_s:g} requests a second, and {vms:d} VMs that send to it")
def step_cold(context, per_s, vms):
    names = [f"vm-{number}" for number in range(vms)]
    limit = cold_rate_limit(per_s)
    senders = limited_server_senders("i-1", names, limit.max_senders)
    context.shares = [(ShareLimiter(NOW), limit.share_per_s(vms)) for _ in senders]


@given('a server that names a limit of {per_s:g} requests a second, and groups of "{groups}" VMs')
def step_named_limit(context, per_s, groups):
    limit = named_rate_limit(per_s)
    context.shares = []
    known_vms = sum(map(int, groups.split(",")))
    for group, size in enumerate(groups.split(",")):
        names = [f"vm-{group}-{number}" for number in range(int(size))]
        senders = limited_server_senders("i-1", names, limit.max_senders)
        share_per_s = limit.share_per_s(known_vms)
        context.shares += [(ShareLimiter(NOW), share_per_s) for _ in senders]


@when("every VM sends all that it may for {seconds:d} s")
def step_send_limited(context, seconds):
    context.sent = [
        at
        for at in range(NOW, NOW + seconds * 1000, 10)
        for limiter, share_per_s in context.shares
        if limiter.take(share_per_s, at)
    ]


@then("it gets at most {most:d} requests in any {seconds:d} s")
def step_most_in_window(context, most, seconds):
    for begin in context.sent:
        assert sum(begin <= at < begin + seconds * 1000 for at in context.sent) <= most


@then("it gets at most {most:g} requests in any second")
def step_cold_most(context, most):
    for begin in context.sent:
        assert sum(begin <= at < begin + 1000 for at in context.sent) <= most


@then("in {seconds:d} s it gets at least {least:d}")
def step_cold_least(context, seconds, least):
    assert len(context.sent) >= least, len(context.sent)


@given('idle servers "{names}"')
def step_servers(context, names):
    context.states = {
        name.strip(): ServerState(
            RegisteredServer(
                id=name.strip(), service="m", host="h", port=1, data_centre="d", slots=8
            )
        )
        for name in names.split(",")
    }
    context.now = NOW


def prompt(subject, number=0):
    return (
        PromptPart("all", 2500),
        PromptPart(subject, 3800),
        PromptPart(f"{subject}-{number}", 2900),
    )


def choose(states, parts, tokens=0, now=NOW):
    return choose_server(
        list(states), parts=parts, prompt_tokens=tokens, now_ms=now, rng=random.Random(1)
    ).server.id


@then('{count:d} prompts of subject "{subject}" all go to one server, whichever VM chooses')
def step_one_server(context, count, subject):
    servers = list(context.states.values())
    found = set()
    for number in range(count):
        order = servers[number % 3 :] + servers[: number % 3]
        found.add(choose(order, prompt(subject, number)))
    assert len(found) == 1, found


@then("prompts of {count:d} subjects use every server")
def step_all_servers(context, count):
    servers = context.states.values()
    found = {choose(servers, prompt(f"s{number}")) for number in range(count)}
    assert found == set(context.states)


@when('the preferred server of subject "{subject}" has {tokens:d} tokens to prefill')
def step_preferred_busy(context, subject, tokens):
    context.preferred = choose(context.states.values(), prompt(subject))
    context.states[context.preferred].own_prefill_tokens = tokens


@then('a prompt of subject "{subject}" goes to another server')
def step_other_server(context, subject):
    assert choose(context.states.values(), prompt(subject)) != context.preferred


@when('server "{name}" fails every other of its {count:d} last requests')
def step_fails(context, name, count):
    for number in range(count):
        state = context.states[name]
        state.record_failure() if number % 2 else state.record_success()


@then('{count:d} questions without shared parts go to others than "{name}"')
def step_others(context, count, name):
    for _ in range(count):
        assert choose(context.states.values(), (), tokens=800) != name


@when('server "{name}" cannot be reached')
def step_unreachable(context, name):
    context.states[name].record_unreachable(context.now)


@then('the back-off from server "{name}" is {ms:d} ms')
def step_backoff(context, name, ms):
    assert context.states[name].backoff_until_ms == context.now + ms


@when('its back-off is over and server "{name}" cannot be reached')
def step_again(context, name):
    context.now = context.states[name].backoff_until_ms
    context.states[name].record_unreachable(context.now)


@when('its back-off is over and server "{name}" responds')
def step_responds(context, name):
    context.now = context.states[name].backoff_until_ms
    context.states[name].record_success()


@given('server "{name}" is the only one in data centre "{centre}"')
def step_centre(context, name, centre):
    state = context.states[name]
    state.server = replace(state.server, data_centre=centre)


def choose_in(context, centre, parts, tokens=0):
    return choose_server(
        list(context.states.values()),
        parts=parts,
        prompt_tokens=tokens,
        now_ms=context.now,
        rng=random.Random(1),
        data_centre=centre,
    ).server.id


@then('{count:d} questions sent from "{centre}" go to "{name}"')
def step_questions_here(context, count, centre, name):
    for _ in range(count):
        assert choose_in(context, centre, (), tokens=800) == name


@then('prompts of {count:d} subjects sent from "{centre}" all go to "{name}"')
def step_prompts_here(context, count, centre, name):
    assert {choose_in(context, centre, prompt(f"s{n}")) for n in range(count)} == {name}


@given('server "{name}" has {running:d} requests running and {waiting:d} waiting')
@when('server "{name}" has {running:d} requests running and {waiting:d} waiting')
def step_has(context, name, running, waiting):
    context.states[name].own_requests = running + waiting


@then('a question sent from "{centre}" goes to another server')
def step_question_elsewhere(context, centre):
    assert choose_in(context, centre, (), tokens=800) != "b"


@when('one in {share:d} of {count:d} requests fails at server "{name}", drawn at random')
def step_some_fail(context, share, count, name):
    rng = random.Random(7)
    state = context.states[name]
    context.waits = []
    for _ in range(count):
        context.waits.append(expected_wait_ms(state, 800, context.now))
        state.record_failure() if rng.random() < 1 / share else state.record_success()


@then('at most 1 in {share:d} of them had an expected wait over {ms:d} ms at "{name}"')
def step_waits(context, share, ms, name):
    assert sum(wait > ms for wait in context.waits) <= len(context.waits) / share


@then(
    'a "{repeat}" request, resumable "{resumable}", with {left:d} attempts left and '
    "{expected:d} ms expected has timeout {timeout}"
)
def step_first_byte_timeout(context, repeat, resumable, left, expected, timeout):
    route = Route(
        name="r",
        host="x",
        prefix="/",
        repeat=Repeat(repeat),
        targets=(),
        target_ms=600,
        resumable=resumable == "yes",
    )
    found = first_byte_timeout_ms(route, attempts_left=left, expected_ms=expected)
    assert (str(found) if found is None else f"{found:g}") == timeout, found


@when('server "{name}" has {slots:d} slots and as many requests in flight')
def step_full(context, name, slots):
    context.state = context.states[name]
    context.state.server = replace(context.state.server, slots=slots)
    context.state.own_requests = slots


@then("it takes {more:d} requests more")
def step_takes(context, more):
    taken = 0
    while context.state.has_room(0, NOW):
        context.state.own_requests += 1
        taken += 1
    assert taken == more, taken


@when('server "{name}" runs {count:d} requests of this VM and says that {busy:d} are there')
def step_says_busy(context, name, count, busy):
    state = context.states[name]
    state.own_requests = count
    state.record_load(busy=busy, now_ms=context.now)


@when('{count:d} of them end at server "{name}"')
def step_some_end(context, count, name):
    context.states[name].own_requests -= count


@then('server "{name}" has no room')
def step_has_no_room(context, name):
    assert not context.states[name].has_room(0, context.now)


@then('server "{name}" has room')
def step_has_room_now(context, name):
    assert context.states[name].has_room(0, context.now)


@then('server "{name}" counts {busy:d} requests now and {later:d} after {ms:d} ms')
def step_counts(context, name, busy, later, ms):
    state = context.states[name]
    assert (state.in_flight(context.now), state.in_flight(context.now + ms)) == (busy, later)


@when('other VMs report {count:d} requests at server "{name}"')
def step_reported(context, count, name):
    context.states[name].peer_requests = count
