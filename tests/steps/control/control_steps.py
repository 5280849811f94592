from __future__ import annotations

from dataclasses import replace

import anyio
from behave import given, then, when

from hickorybeam.control import ControlService, EngineState, HttpOrderClient, Order, OrderKind
from hickorybeam.errors import ErrorKind, GatewayError, Ran
from hickorybeam.kernel import Kernel, Service
from hickorybeam.model import BackendKind, BackendServer, ChangeTicket, ModelService, ObjectRef
from hickorybeam.settings import ControlSettings, PlatformSettings, Settings, VmSettings
from hickorybeam.standins import engine as engine_standin
from hickorybeam.standins.platform import MemoryPlatform, PlatformStandIn
from hickorybeam.telemetry import Counters
from hickorybeam.tickets import LogState, apply
from steps.tickets.fakes import FleetClock, settle

ORDER_DELAY_MS = 100


class FakeEngine:
    def __init__(self, *, checks_fencing):
        self.checks_fencing, self.models, self.role, self.fencing = checks_fencing, {}, "", 0
        self.effects, self.lost_responses = [], 0

    def receive(self, order, fencing):
        if self.checks_fencing and fencing < self.fencing:
            raise GatewayError(ErrorKind.FENCED)
        self.fencing = max(fencing, self.fencing)
        self.effects.append((fencing, order))
        match order.kind:
            case OrderKind.LOAD:
                self.models[order.model] = order.version
            case OrderKind.UNLOAD:
                self.models.pop(order.model, None)
            case OrderKind.ROLE:
                self.role = order.role
        if self.lost_responses:
            self.lost_responses -= 1
            raise GatewayError(ErrorKind.BACKEND_SILENT)


class FakeOrderClient:
    """One VM's order client for the fake engines; while paused it sends nothing."""

    def __init__(self, fleet):
        self.fleet, self.resumed = fleet, anyio.Event()
        self.resumed.set()

    async def state(self, engine):
        await self.resumed.wait()
        found = self.fleet.engines[engine.name]
        return EngineState(models=dict(found.models), role=found.role, fencing=found.fencing)

    async def send(self, engine, order, *, fencing, may_send):
        await self.fleet.clock.sleep(ORDER_DELAY_MS)
        await self.resumed.wait()
        if not may_send():
            raise GatewayError(ErrorKind.LEASE_LOST)
        self.fleet.engines[engine.name].receive(order, fencing)


class FakeConfig(Service):
    name = "config"

    def __init__(self, fleet):
        self.fleet = fleet

    def current(self):
        return self.fleet.state.config

    def age_ms(self):
        return 0

    async def wait_for(self, position, *, timeout_ms):
        return self.current()

    async def wait_past(self, position):
        await anyio.sleep_forever()

    async def submit(self, ticket):
        raise NotImplementedError


class ControlFleet:
    def __init__(self):
        self.clock = FleetClock()
        self.stand_in = PlatformStandIn(self.clock)
        self.engines = {
            "strict": FakeEngine(checks_fencing=True),
            "lax": FakeEngine(checks_fencing=False),
            "far": FakeEngine(checks_fencing=False),
        }
        self.services, self.platforms, self.order_clients, self.old_holder = {}, {}, {}, None
        self.state = apply(LogState(), self.first_ticket())

    def first_ticket(self):
        def engine(name, data_centre="a"):
            return BackendServer(
                name=name,
                kind=BackendKind.ENGINE,
                region="r",
                data_centre=data_centre,
                host="127.0.0.1",
                port=1,
                serves=("tune", "base"),
                checks_fencing=name == "strict",
            )

        return ChangeTicket(
            number=1,
            models=(
                ModelService(name="base", regions=("r",)),
                ModelService(name="tune", regions=("r",), adapter_of="base"),
            ),
            backends=(engine("strict"), engine("lax"), engine("far", "z")),
        )

    def change(self, **fields):
        number = self.state.config.head_ticket + 1
        self.state = apply(self.state, ChangeTicket(number=number, **fields))

    async def run(self, names, *, task_status):
        async with anyio.create_task_group() as tg:
            for name in names:
                cfg = Settings(
                    vm=VmSettings(name=name, region="r", data_centre="a"),
                    platform=PlatformSettings(urls=()),
                    control=ControlSettings(weight_store_bytes_per_s=1_000_000.0),
                )
                self.platforms[name] = MemoryPlatform(self.stand_in)
                self.order_clients[name] = FakeOrderClient(self)
                self.services[name] = ControlService(
                    cfg=cfg,
                    clock=self.clock,
                    counters=Counters(),
                    order_client=self.order_clients[name],
                )
                kernel = Kernel(self.clock)
                kernel.add(self.platforms[name])
                kernel.add(FakeConfig(self))
                kernel.add(self.services[name])
                tg.start_soon(kernel.run)
            await settle()
            task_status.started()
            await anyio.sleep_forever()

    def holders(self):
        return [name for name, service in self.services.items() if service.status()["holder"]]


@given('control VMs "{names}" with engines "strict" that checks fencing and "lax" that does not')
def step_fleet(context, names):
    context.fleet = context.call(ControlFleet)
    task, _ = context.portal.start_task(context.fleet.run, names.split())
    context.stack.callback(task.cancel)


@when("{ms:d} ms pass for the control VMs")
def step_pass(context, ms):
    context.call(context.fleet.clock.advance, ms)


@then("exactly one control VM holds the lease")
def step_one_holder(context):
    assert len(context.fleet.holders()) == 1, context.fleet.holders()


@then('engines "{names}" hold models "{models}"')
def step_hold_models(context, names, models):
    for name in names.split():
        found = context.fleet.engines[name].models
        assert found == dict(pair.split(":") for pair in models.split()), (name, found)


@then('the role of engine "{name}" is ""')
@then('the role of engine "{name}" is "{role}"')
def step_role_is(context, name, role=""):
    assert context.fleet.engines[name].role == role


@then('on engines "{names}" adapter "{adapter}" was loaded after "{base}"')
def step_load_order(context, names, adapter, base):
    for name in names.split():
        loaded = [order.model for _, order in context.fleet.engines[name].effects]
        assert loaded == [base, adapter], loaded


@when('the configured state moves model "{name}" to "{version}"')
def step_version(context, name, version):
    model = context.fleet.state.config.models[name]
    context.call(lambda: context.fleet.change(models=(replace(model, version=version),)))


def change_engines(context, **fields):
    engines = context.fleet.state.config.backends.values()
    context.fleet.change(backends=tuple(replace(engine, **fields) for engine in engines))


@when('the configured state removes model "{name}"')
def step_drop(context, name):
    change_engines(context, serves=("base",))
    context.fleet.change(deleted=(ObjectRef("models", name),))


@when('the configured state sets role "{role}"')
def step_role(context, role):
    change_engines(context, role=role)


@when('the configured state adds model "{name}" of {size:d} bytes')
def step_add_model(context, name, size):
    model = ModelService(name=name, regions=("r",), weight_bytes=size)
    context.fleet.change(models=(model,))
    change_engines(context, serves=("base", "tune", name))


@when('the configured state lets engine "{name}" leave')
def step_leave(context, name):
    engine = context.fleet.state.config.backends[name]
    context.fleet.change(backends=(replace(engine, leaving=True),))


@when("the control holder {event}")
def step_holder_event(context, event):
    fleet = context.fleet
    (fleet.old_holder,) = fleet.holders()
    match event:
        case "is paused":
            fleet.order_clients[fleet.old_holder].resumed = anyio.Event()
            context.call(fleet.platforms[fleet.old_holder].faults.set_out, True)
        case "loses the platform":
            context.call(fleet.platforms[fleet.old_holder].faults.set_out, True)
        case "is drained":
            context.call(fleet.services[fleet.old_holder].drain)
        case "has its lease expired":
            context.call(fleet.platforms[fleet.old_holder].faults.set_out, True)
            for lease in fleet.stand_in.store.leases():
                context.call(fleet.stand_in.lapse, lease)


@when("the old control holder recovers")
def step_holder_recovers(context):
    fleet = context.fleet
    context.call(fleet.platforms[fleet.old_holder].faults.set_out, False)
    context.call(fleet.order_clients[fleet.old_holder].resumed.set)


@then("the other control VM holds the lease")
def step_other_holder(context):
    (holder,) = context.fleet.holders()
    assert holder != context.fleet.old_holder


@then("no engine executed an order with an older token after a newer one")
def step_tokens(context):
    for engine in context.fleet.engines.values():
        tokens = [token for token, _ in engine.effects]
        assert tokens == sorted(tokens), tokens
    assert max(engine.fencing for engine in context.fleet.engines.values()) > 1


@when("the platform is unavailable for the control VMs")
def step_unavailable(context):
    context.call(context.fleet.stand_in.faults.set_out, True)


@when("the platform is available again for the control VMs")
def step_available(context):
    context.call(context.fleet.stand_in.faults.set_out, False)


@when('the next response of engine "{name}" is lost')
def step_lose_response(context, name):
    context.fleet.engines[name].lost_responses = 1


@when("the next platform responses to the control VMs are lost")
def step_lose_platform_responses(context):
    context.fleet.stand_in.faults.lose_answers = 3


@then('engine "{name}" received {count:d} orders')
def step_received(context, name, count):
    assert len(context.fleet.engines[name].effects) == count, context.fleet.engines[name].effects


@when('engine "{name}" restarts empty')
def step_restart(context, name):
    context.fleet.engines[name].models.clear()
    context.fleet.engines[name].fencing = 0


@then('{count:d} engine holds model "{name}"')
@then('{count:d} engines hold model "{name}"')
def step_count(context, count, name):
    holding = [key for key, engine in context.fleet.engines.items() if name in engine.models]
    assert len(holding) == count, holding


@given("an engine stand-in that checks fencing")
def step_stand_in(context):
    context.stand_in = context.stack.enter_context(
        context.portal.wrap_async_context_manager(engine_standin.serve(checks_fencing=True))
    )
    context.engine = BackendServer(
        name="served",
        kind=BackendKind.ENGINE,
        region="r",
        data_centre="a",
        host="127.0.0.1",
        port=context.stand_in.port,
    )
    context.order_client = HttpOrderClient(timeout_ms=1_000)


def send(context, model, version, token, *, may_send=True, port=None):
    engine = replace(context.engine, port=port or context.engine.port)
    order = Order(kind=OrderKind.LOAD, model=model, version=version)

    async def run():
        await context.order_client.send(engine, order, fencing=token, may_send=lambda: may_send)

    context.call(run)


@when(
    'control sends load of "{model}" version "{version}" with token {token:d}'
    " to the engine stand-in"
)
def step_send(context, model, version, token):
    send(context, model, version, token)


@then(
    'the engine stand-in\'s state read by control has "{model}" at version "{version}"'
    " and token {token:d}"
)
def step_state(context, model, version, token):
    state = context.call(context.order_client.state, context.engine)
    assert state.models[model] == version and state.fencing == token, state


def send_fails(context, kind, *args, **fields):
    try:
        send(context, *args, **fields)
    except GatewayError as exc:
        assert exc.kind.value == kind, exc
        return exc
    raise AssertionError("the order was accepted")


@then(
    'control sending load of "{model}" version "{version}" with token {token:d} fails with "{kind}"'
)
def step_send_fails(context, model, version, token, kind):
    send_fails(context, kind, model, version, token)


@then('control sending with an expired lease fails with "{kind}" and nothing arrives')
def step_send_expired(context, kind):
    before = context.call(context.order_client.state, context.engine)
    send_fails(context, kind, "late", "1", 9, may_send=False)
    assert context.call(context.order_client.state, context.engine) == before


@then('control sending to a closed port fails with "{kind}" as not run')
def step_send_closed(context, kind):
    exc = send_fails(context, kind, "x", "1", 9, port=9)
    assert exc.ran is Ran.NO, exc


@then("the control machine finds no fault in {runs:d} runs of {steps:d} steps")
def step_machine(context, runs, steps):
    from steps.control.control_machine import run_control_machine

    run_control_machine(runs, steps)


@when('engine "{name}" has seen token {token:d}')
def step_token(context, name, token):
    context.fleet.engines[name].fencing = token


@given("two control holders with a manual clock")
def step_two_holders(context):
    from steps.control.control_machine import ControlMachine

    context.machine = ControlMachine()
    context.stack.callback(context.machine.teardown)
    context.machine.take(0)


@when(
    "the first control holder sends {ms:d} ms after acquiring the lease,"
    " and the order takes {delay:d} ms"
)
def step_first_sends(context, ms, delay):
    context.machine.time_passes(ms)
    context.machine.send(0, delay)
    assert context.machine.sent == 1


@when("the second control holder acquires the lease at {ms:d} ms and sends as soon as it may")
def step_second_sends(context, ms):
    machine = context.machine
    machine.time_passes(ms - (machine.clock.now() - 1_000))
    machine.take(1)
    assert machine.terms[1] is not None
    while machine.sent < 2:
        machine.send(1, 0)
        machine.time_passes(50)
    machine.time_passes(3_000)


@then("the order of the first took effect before that of the second")
def step_in_order(context):
    assert context.machine.effects == [1, 2], context.machine.effects
