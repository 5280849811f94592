from __future__ import annotations

import random

from behave import given, then, when
from hypothesis import given as for_any
from hypothesis import settings as limits
from hypothesis import strategies as st

from hickorybeam.errors import ErrorKind, GatewayError, Ran
from hickorybeam.model import RegionLoad
from hickorybeam.policy.backend_choice import Candidate, PeerLoad, choose_backend
from hickorybeam.policy.concurrency import AdaptiveLimit
from hickorybeam.policy.fair_queue import FairQueue
from hickorybeam.policy.health import HealthTable
from hickorybeam.policy.job import Job
from hickorybeam.policy.profile import profile_named
from hickorybeam.policy.region_choice import RegionChoice
from hickorybeam.policy.retry import RetryBudget, may_retry
from hickorybeam.policy.shedding import BodyMemoryLimit, jobs_to_shed

COST = 100


def job(number, account="a", **more):
    values = {"served": "m", "cost": COST, "arrived_ms": 0, "deadline_ms": 60_000}
    return Job(id=number, account=account, **(values | more))


@then("fair queue shares follow the weights for any jobs")
def step_shares(context):
    costs = st.lists(st.integers(1, 500), min_size=5, max_size=40)

    @limits(derandomize=True, max_examples=100, deadline=None, database=None)
    @for_any(first=costs, second=costs, weight=st.sampled_from([0.5, 1.0, 2.0, 4.0]))
    def check(first, second, weight):
        queue = FairQueue()
        weights = {"x": weight, "y": 1.0}
        for name, found in (("x", first), ("y", second)):
            for index, cost in enumerate(found):
                number = index + (1000 if name == "y" else 0)
                queue.push(job(number, name, cost=cost, weight=weights[name]), long=False)
        got = {"x": 0.0, "y": 0.0}
        taken = set()
        while (popped := queue.pop(short=True, long=True)) is not None:
            assert popped.id not in taken
            taken.add(popped.id)
            got[popped.account] += popped.cost / weights[popped.account]
            if queue.backlog_of("x") and queue.backlog_of("y"):
                most = max(first) / weight + max(second)
                assert abs(got["x"] - got["y"]) <= most, got
        assert len(taken) == len(first) + len(second)
        assert queue.backlog == 0

    check()


@given('a fair queue with {count:d} jobs of {cost:d} tokens of account "{account}"')
def step_queue(context, count, cost, account):
    context.queue = FairQueue()
    for number in range(count):
        context.queue.push(job(number, account, cost=cost), long=False)
    context.queue.pop(short=True, long=True)


@when('a fair queue job of {cost:d} tokens of account "{account}" arrives')
def step_arrives(context, cost, account):
    context.queue.push(job(9999, account, cost=cost), long=False)


@then('the fair queue serves "{account}" within {count:d} jobs')
def step_within(context, account, count):
    served = [context.queue.pop(short=True, long=True).account for _ in range(count)]
    assert account in served, served


@given(
    'a fair queue where "{one}" reserves {large:d} and "{other}" {small:d} and both use {used:d}'
)
def step_reserves(context, one, large, other, small, used):
    context.queue = FairQueue()
    context.used = used
    for number in range(40):
        context.queue.push(job(number, one, cost=large), long=False)
        context.queue.push(job(100 + number, other, cost=small), long=False)


@then("the fair queue serves {count:d} jobs, at least {least:d} of each")
def step_settled(context, count, least):
    served = []
    for _ in range(count):
        taken = context.queue.pop(short=True, long=True)
        context.queue.settle(taken.account, taken.cost, context.used)
        served.append(taken.account)
    assert min(served.count(name) for name in set(served)) >= least, served
    assert len(set(served)) == 2, served


@then('a call that is "{idempotent}" after "{kind}" with ran "{ran}" is retried: "{retried}"')
def step_retry(context, idempotent, kind, ran, retried):
    exc = GatewayError(ErrorKind(kind), ran=Ran(ran))
    assert may_retry(exc, idempotent=idempotent == "idempotent") == (retried == "yes")


@then("{calls:d} failing calls make at most {most:d} retries")
def step_retries(context, calls, most):
    budget = RetryBudget()
    made = 0
    for _ in range(calls):
        budget.record_first_attempt()
        made += budget.take()
    assert 0 < made <= most, made


@given('health of servers "{names}"')
def step_health(context, names):
    context.health, context.servers, context.now = HealthTable(), names.split(), 0
    context.jobs = iter(range(10_000))


@given('health of servers "{names}" whose first tokens take {ms:d} ms')
def step_health_tokens(context, names, ms):
    step_health(context, names)
    for name in context.servers:
        for _ in range(5):
            respond(context, name, ms)


def respond(context, name, ms):
    number = next(context.jobs)
    context.health.record_start(name, number, context.now, scale=1.0)
    context.now += ms
    context.health.record_first_token(name, number, context.now, context.servers)
    context.health.record_success(name, context.now)
    context.health.update_states(context.now, context.servers)


@when("every health server fails {count:d} times")
def step_all_fail(context, count):
    for _ in range(count):
        for name in context.servers:
            context.health.record_failure(name, next(context.jobs), context.now, context.servers)


@when('health server "{name}" fails {count:d} times')
def step_fails(context, name, count):
    for _ in range(count):
        context.health.record_failure(name, next(context.jobs), context.now, context.servers)


@when('health server "{name}" succeeds')
def step_succeeds(context, name):
    context.health.record_success(name, context.now)


@when('health server "{name}" takes {ms:d} ms for {count:d} first tokens')
def step_slow(context, name, ms, count):
    for _ in range(count):
        respond(context, name, ms)


@when('health server "{name}" responds to a probe in {ms:d} ms')
def step_probe(context, name, ms):
    assert context.health.state(name).name == "PROBING"
    respond(context, name, ms)


@when("{ms:d} health ms pass")
def step_time(context, ms):
    context.now += ms
    context.health.update_states(context.now, context.servers)


@then("{count:d} health servers are ejected")
def step_ejected(context, count):
    states = [context.health.state(name).name for name in context.servers]
    assert states.count("EJECTED") == count, states


@then('health server "{name}" is "{state}" with weight {weight:g}')
def step_state(context, name, state, weight):
    found = context.health.state(name).name, context.health.weight(name, context.now)
    assert found[0] == state, found
    # Recent failures still count a little; the base weight is what is stated.
    assert weight * 0.3 <= found[1] <= weight + 1e-9, found


@then('health server "{name}" is in back-off and suspect')
def step_in_backoff(context, name):
    assert context.health.is_backing_off(name, context.now)
    assert context.health.is_suspect(name)


@then('health server "{name}" may be tried')
def step_may_be_tried(context, name):
    assert not context.health.is_backing_off(name, context.now)
    assert context.health.ms_until_available([name], context.now) == 0


@then('health server "{name}" is not suspect')
def step_not_suspect(context, name):
    assert not context.health.is_suspect(name)


def pick(names, prefix, loads=None):
    loads = loads or {}
    candidates = [
        Candidate(name=name, speed=1000.0, tokens=loads.get(name, 1000.0), free=True)
        for name in names
    ]
    return choose_backend(
        candidates, cost=COST, prefix=prefix, prompt_tokens=500, rng=random.Random(1)
    )


@then("of {count:d} prefixes over {servers:d} servers only those of a lost server move")
def step_prefixes(context, count, servers):
    names = [f"s{number}" for number in range(servers)]
    before = {f"p{n}": pick(names, f"p{n}") for n in range(count)}
    lost = names[0]
    after = {prefix: pick(names[1:], prefix) for prefix in before}
    moved = {prefix for prefix in before if before[prefix] != after[prefix]}
    assert moved == {prefix for prefix, name in before.items() if name == lost}
    assert 0 < len(moved) < count / 2


@given('backend candidates "{names}" with equal load')
def step_candidates(context, names):
    context.names = names.split()


@when("the prefix's own candidate has 3 times the mean load")
def step_loaded(context):
    context.own = pick(context.names, "hot")
    context.spread = pick(context.names, "hot", {context.own: 9000.0})


@then("the prefix goes to the next candidate of its order")
def step_next(context):
    others = [name for name in context.names if name != context.own]
    assert context.spread == pick(others, "hot")


@given("peer load of {now:d} requests over a mean of {mean:d}")
def step_peer_load(context, now, mean):
    context.peer_load = PeerLoad()
    for at in range(200):
        context.peer_load.update(mean, mean * 100, at)
    context.peer_load.update(now, now * 100, 1000)


@then("peer load is near {now:d} at once and near the mean after {ms:d} ms")
def step_faded(context, now, ms):
    assert abs(context.peer_load.at(1000)[0] - now) < 0.1
    assert context.peer_load.at(1000 + ms)[0] < 3.5


@given("adaptive limits of {one:d} and {other:d} at an engine of {slots:d} slots")
def step_limits(context, one, other, slots):
    context.limits = [AdaptiveLimit(slots=slots, limit=float(first)) for first in (one, other)]
    context.slots = slots


@when("both adapt to an engine that slows down above its slots")
def step_adapt(context):
    now = 0
    for limit in context.limits:
        limit.record_first_token(30.0, now, in_flight=0)
    for _ in range(3_000):
        now += 20
        used = sum(limit.max_in_flight for limit in context.limits)
        time = 30.0 + 120.0 * max(0, used - context.slots)
        for limit in context.limits:
            limit.record_first_token(time, now, in_flight=limit.max_in_flight)


@then("the adaptive limits differ by at most {most:d} and use at least {least:d} slots")
def step_converged(context, most, least):
    allowed = [limit.max_in_flight for limit in context.limits]
    assert abs(allowed[0] - allowed[1]) <= most, allowed
    assert sum(allowed) >= least, allowed


@given('region choice under profile "{name}"')
def step_region(context, name):
    context.regions = RegionChoice(here="a", profile=profile_named(name))
    context.regions.configure(costs={"a": 1.0, "b": 1.0}, senders=1)


@given(
    'region "{region}" reports a wait of {wait:d} ms and {free:d} free tokens {age:d} ms ago '
    "at price {price:d}"
)
def step_region_report(context, region, wait, free, age, price):
    context.now = 10_000
    context.regions.configure(costs={"a": 1.0, region: float(price)}, senders=1)
    load = RegionLoad(
        region=region, served="m", wait_ms=wait, free_tokens=free, at_ms=context.now - age
    )
    context.regions.update_loads([load], job_cost=COST)


@when('region "{region}" fails a call')
def step_region_fails(context, region):
    context.regions.record_failure(region, context.now)


@when('region "{region}" reports again {ms:d} ms later with {free:d} free tokens')
def step_region_again(context, region, ms, free):
    context.now += ms
    load = RegionLoad(region=region, served="m", wait_ms=0, free_tokens=free, at_ms=context.now)
    context.regions.update_loads([load], job_cost=COST)


@then('a job with local wait {wait:d} ms allowed in "{allowed}" goes to "{choice}"')
def step_region_choice(context, wait, allowed, choice):
    one = job(1, regions=frozenset(allowed.split()))
    found = context.regions.choose(one, local_wait_ms=wait, now=context.now)
    assert (found or "here") == choice, found


@then('the jobs sent to region "{region}" after each report are "{counts}"')
def step_quota(context, region, counts):
    sent = []
    for report in range(len(counts.split())):
        now = 10_000 + 500 * report
        load = RegionLoad(region=region, served="m", wait_ms=0, free_tokens=90_000, at_ms=now)
        context.regions.update_loads([load], job_cost=COST)
        count = 0
        one = job(1, regions=frozenset({"a", region}))
        while context.regions.choose(one, local_wait_ms=9_000, now=now) and count < 100:
            context.regions.record_sent(one, region, now)
            count += 1
        sent.append(str(count))
    assert sent == counts.split(), sent


@given(
    "a fair queue of a large account with a long, a low-priority and a plain job and a "
    "small account with one job"
)
def step_two_accounts(context):
    context.queue = FairQueue()
    context.names = {1: "large-plain", 2: "large-long", 3: "large-low", 4: "small"}
    context.queue.push(job(1, "large"), long=False)
    context.queue.push(job(2, "large", cost=900), long=True)
    context.queue.push(job(3, "large", priority=-1), long=False)
    context.queue.push(job(4, "small", cost=50), long=False)


@then('jobs are shed in the order "{order}"')
def step_order(context, order):
    shed = [context.names[one.id] for one in jobs_to_shed(context.queue, max_backlog_tokens=0)]
    assert shed == order.split(), shed


@given("memory for request bodies of {size:d} bytes")
def step_memory(context, size):
    context.memory = BodyMemoryLimit(size)


@when('account "{account}" holds as many bodies of {size:d} bytes as fit')
def step_hold(context, account, size):
    context.held = 0
    while context.memory.fits(account, size):
        context.memory.reserve(account, size)
        context.held += size


@then('account "{account}" holds at most {most:d} bytes')
def step_held(context, account, most):
    assert 0 < context.held <= most, context.held


@then('a body of {size:d} bytes of account "{account}" fits')
def step_fits(context, size, account):
    assert context.memory.fits(account, size)
