from __future__ import annotations

import msgspec
from behave import given, then, when
from tests.steps.shares import fakes

from hickorybeam.errors import GatewayError
from hickorybeam.policy.shares import PARTS_PER_ACCOUNT, GroupLedger
from hickorybeam.shares.messages import LOANS, LoanDemand, LoanRequest
from hickorybeam.store.port import Put

NAME = "acme"
SETTLE_MS = 30_000


@given("a single budget VM and an account of rate {rate:d} and burst {burst:d}")
def step_single(context, rate, burst):
    begin(context, ["a0"], rate, burst, single=True)


@given("a budget fleet of {names} and an account of rate {rate:d} and burst {burst:d}")
def step_fleet(context, names, rate, burst):
    begin(context, names.split(), rate, burst, single=False)


def begin(context, names, rate, burst, *, single):
    context.rate, context.burst = rate, burst
    context.refused = 0

    async def build():
        return fakes.Fleet([fakes.account(NAME, rate, burst)], single=single)

    context.fleet = context.call(build)
    context.stack.enter_context(context.portal.wrap_async_context_manager(context.fleet))

    async def start():
        for name in names:
            await context.fleet.start(name, name[0])
        await context.fleet.run(SETTLE_MS)

    context.call(start)


@when('budget VM "{name}" takes {tokens:d} tokens')
def step_take(context, name, tokens):
    context.tokens, context.at = tokens, name
    context.outcome = context.call(context.fleet.take, name, NAME, tokens)


@when("its request settles with {used:d} tokens used")
def step_settle(context, used):
    budget = context.fleet.nodes[context.at].budget

    def settle():
        budget.settle(NAME, context.tokens, used, admission=context.outcome)

    context.call(settle)


@then("the budget admits it")
def step_admits(context):
    assert isinstance(context.outcome, int), context.outcome


@then('the budget refuses it as "{kind}"')
def step_refuses(context, kind):
    assert isinstance(context.outcome, GatewayError), context.outcome
    assert context.outcome.kind.value == kind, context.outcome


@then('the budget refuses it as "{kind}", with retry-after {wait:d} ms')
def step_refuses_for(context, kind, wait):
    step_refuses(context, kind)
    assert context.outcome.retry_after_ms == wait, context.outcome.retry_after_ms


@when("{ms:d} ms pass for the budget fleet")
def step_pass(context, ms):
    context.call(context.fleet.run, ms)


@when('{tokens:d} tokens are taken every {every:d} ms for {ms:d} ms at budget VM "{name}"')
def step_traffic_one(context, tokens, every, ms, name):
    traffic(context, tokens, every, ms, [name])


@when('{tokens:d} tokens are taken every {every:d} ms for {ms:d} ms at budget VMs "{names}"')
def step_traffic(context, tokens, every, ms, names):
    traffic(context, tokens, every, ms, names.split())


def traffic(context, tokens, every, ms, names):
    context.calls_before = context.fleet.store.calls

    async def send():
        fleet = context.fleet
        end = fleet.clock.now() + ms
        due = fleet.clock.now()
        while due < end:
            await fleet.run(max(0, due - fleet.clock.now()))
            for name in names:
                outcome = await fleet.take(name, NAME, tokens)
                context.refused += isinstance(outcome, GatewayError)
            due += every

    context.call(send)


@then("the budget refused {count:d} requests")
def step_refused(context, count):
    assert context.refused == count, context.refused


@then("the budget fleet kept within rate and burst")
def step_within_limits(context):
    assert not context.fleet.faults, context.fleet.faults[:3]
    assert_within_limits(context.fleet.spent, context.rate, context.burst)


def assert_within_limits(spent, rate, burst):
    assert spent, "nothing was spent, so the check would be empty"
    excess = fakes.overspent([(at, tokens) for at, _, _, tokens in spent], rate, burst)
    assert excess <= 1e-6, excess


@when('data centre "{name}" is cut off from the budget fleet')
def step_cut(context, name):
    context.fleet.cut_off(name)


@when("the platform is unavailable for the budget fleet")
def step_unavailable(context):
    for node in context.fleet.nodes.values():
        node.platform.unavailable = True


@then('budget VM "{name}" served at least {tokens:d} tokens')
def step_served(context, name, tokens):
    served = sum(each for _, vm, _, each in context.fleet.spent if vm == name)
    assert served >= tokens, served


@then("the budget fleet served at least {tokens:d} tokens")
def step_fleet_served(context, tokens):
    served = sum(each for _, _, _, each in context.fleet.spent)
    assert served >= tokens, served


@when('budget VM "{name}" crashes')
def step_crash(context, name):
    context.call(context.fleet.nodes[name].crash)


@when('budget VM "{name}" is paused for {ms:d} ms')
def step_pause(context, name, ms):
    async def pause():
        context.fleet.nodes[name].pause()
        await context.fleet.run(ms)
        context.fleet.nodes[name].resume()

    context.call(pause)


@when('budget VM "{name}" shuts down')
def step_drain(context, name):
    async def drain():
        node = context.fleet.nodes[name]
        ended = []

        async def run():
            await node.budget.drain()
            ended.append(True)

        context.fleet.tg.start_soon(run)
        while not ended:
            await context.fleet.run(100)
        node.crash()

    context.call(drain)


@when('the next ledger write of budget VM "{name}" {fate}')
def step_write_fate(context, name, fate):
    """Set the fault of the VM's next ledger write; the traffic that follows causes the write."""
    platform = context.fleet.nodes[name].platform
    match fate:
        case "loses its response":
            platform.lose_response = True
        case "takes effect late":
            platform.delay_write = True
        case "takes effect after it is cut off":
            platform.delay_write = True
            platform.apply_after_ms = 500
            platform.unavailable_after_delay = True


@when('delayed writes of budget VM "{name}" take effect')
def step_delayed_writes(context, name):
    platform = context.fleet.nodes[name].platform
    assert not platform.lose_response and not platform.delay_write, "no ledger write was made"
    context.call(platform.apply_delayed_writes)


@when('peers of budget VM "{name}" {fault}')
def step_peer_fault(context, name, fault):
    peers = context.fleet.nodes[name].peers
    match fault:
        case "lose their replies":
            peers.lose_reply = True
        case "receive its requests twice":
            peers.duplicate = True
        case "are unreachable":
            peers.cannot_send = True


@when("a change ticket sets the account to rate {rate:d} and burst {burst:d}")
def step_ticket(context, rate, burst):
    async def apply():
        context.changed_ms = context.fleet.clock.now()
        context.fleet.lowered = True
        for node in context.fleet.nodes.values():
            node.config.set([fakes.account(NAME, rate, burst)])

    context.call(apply)


@then("since the change ticket the budget fleet kept within rate {rate:d} and burst {burst:d}")
def step_within_limits_since(context, rate, burst):
    assert_within_limits(
        [one for one in context.fleet.spent if one[0] >= context.changed_ms], rate, burst
    )


def parts_in_ledger(context, name):
    return sum(
        entry.parts.get(NAME, 0)
        for key, item in context.fleet.store.items.items()
        if "/group/" in key
        for entry in msgspec.msgpack.decode(item.value, type=GroupLedger).entries
        if entry.holder.vm.name.startswith(name)
    )


@then('budget VM "{name}" holds no share in the ledger')
def step_holds_nothing(context, name):
    assert parts_in_ledger(context, name) == 0


@then('budget VM "{name}" still holds a share in the ledger')
def step_holds_part(context, name):
    assert parts_in_ledger(context, name) > 0


def parts_in_use(context, data_centre):
    return sum(
        node.budget.status()["accounts"][NAME]["fraction"] * PARTS_PER_ACCOUNT
        for name, node in context.fleet.nodes.items()
        if name.startswith(data_centre) and node.running
    )


@then('data centre "{name}" uses less than its share in the ledger')
def step_uses_less(context, name):
    assert parts_in_use(context, name) < parts_in_ledger(context, name) - 1


@then('data centre "{name}" uses all of its share in the ledger')
def step_uses_all(context, name):
    assert abs(parts_in_use(context, name) - parts_in_ledger(context, name)) <= 1


@when('a change ticket adds budget account "{name}" and {platform}')
def step_new_account(context, name, platform):
    async def add():
        for node in context.fleet.nodes.values():
            node.platform.unavailable = platform.endswith("unavailable")
            accounts = [fakes.account(NAME, context.rate, context.burst), fakes.account(name)]
            node.config.set(accounts)

    context.call(add)


@when('budget VM "{name}" takes {tokens:d} tokens of account "{account}"')
def step_take_of(context, name, tokens, account):
    context.outcome = context.call(context.fleet.take, name, account, tokens)


@then("each budget VM calls the platform at most {limit:f} times a second in the last {ms:d} ms")
def step_calls(context, limit, ms):
    calls = context.fleet.store.calls - context.calls_before
    each = calls / len(context.fleet.nodes) / (ms / 1000)
    assert 0 < each <= limit, each


@when('budget VM "{name}" is paused for {ms:d} ms and resumes with the platform unavailable')
def step_pause_out(context, name, ms):
    async def pause():
        fleet = context.fleet
        fleet.nodes[name].pause()
        await fleet.run(ms)
        for node in fleet.nodes.values():
            node.platform.unavailable = True
        fleet.nodes[name].resume()

    context.call(pause)


@when('the platform is unavailable for budget VM "{name}" alone')
def step_unavailable_for_one(context, name):
    context.fleet.nodes[name].platform.unavailable = True


@when('budget VM "{name}" does not consider "{other}" live')
def step_not_live(context, name, other):
    context.fleet.not_live.add((name, other))


@when('{ms:d} ms pass after the lease of budget VM "{name}" expired')
def step_after_lease(context, ms, name):
    async def wait():
        fleet = context.fleet
        while any(f"holder/{name}@" in key for key in fleet.store.items):
            await fleet.run(100)
            fleet.store.expire()
        await fleet.run(ms)

    context.call(wait)


@when('budget VM "{name}" renews its lease right before "{taker}" takes over')
def step_renewal_race(context, name, taker):
    """Restore the holder's key between the taker's read, which missed it, and its write."""
    fleet = context.fleet
    put = Put(f"shares/holder/{name}@1", name[0].encode())

    def renew():
        fleet.store.txn((), (put,))

    async def race():
        fleet.nodes[name].crash()
        platform = fleet.nodes[taker].platform
        while any(f"holder/{name}@" in key for key in fleet.store.items):
            await fleet.run(100)
            fleet.store.expire()
        platform.before_write = None
        txn = platform.store.txn
        done = []

        def txn_with_renewal(compares, writes):
            # Only before the ledger write of the take-over, not before the taker's lease renewal.
            if not done and any("/group/" in one.key for one in writes):
                done.append(True)
                renew()
            return txn(compares, writes)

        platform.store.txn = txn_with_renewal
        await fleet.run(10_000)
        assert done, "nothing was written"

    context.call(race)


@when('the budget task of VM "{name}" crashes and is restarted')
def step_task_crashes(context, name):
    platform = context.fleet.nodes[name].platform
    platform.crash_next_read = True
    context.call(context.fleet.run, 10_000)
    assert context.fleet.nodes[name].restarts == 1
    assert not context.fleet.tg.cancel_scope.cancel_called, "the task did not restart"


@then('budget VM "{name}" lends nothing when "{borrower}" asks for {tokens:d} tokens')
def step_lends_nothing(context, name, borrower, tokens):
    fleet = context.fleet
    request = LoanRequest({NAME: LoanDemand(tokens)})

    async def ask():
        handler = fleet.nodes[name].peers.handlers[LOANS.name]
        return await handler(fleet.nodes[borrower].vm.id, request)

    assert context.call(ask).loans == ()


@when(
    "{tokens:d} tokens are taken every {every:d} ms for {ms:d} ms "
    "at one budget VM after another, moving between data centres"
)
def step_moving_traffic(context, tokens, every, ms):
    fleet = context.fleet
    context.calls_before = fleet.store.calls

    async def send():
        end = fleet.clock.now() + ms
        count = 0
        while fleet.clock.now() < end:
            name = f"{'abc'[count // 100 % 3]}{count % 3}"
            await fleet.take(name, NAME, tokens)
            await fleet.run(every)
            count += 1

    context.call(send)
