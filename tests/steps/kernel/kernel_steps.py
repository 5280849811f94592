from __future__ import annotations

import anyio
from behave import given, then, when

from hickorybeam.clock import SystemClock
from hickorybeam.kernel import Kernel, KernelError, Service


def make_service(spec, events):
    name, _, needs = spec.partition(" needs ")

    class Probe(Service):
        crashes = 0
        stuck = False
        drain_s = 0.0
        drained = False
        starts = 0

        async def main(self, started):
            self.starts += 1
            events.append(f"start {self.name}")
            started()
            if self.crashes:
                self.crashes -= 1
                raise RuntimeError("crash injected by the test")
            try:
                await anyio.sleep_forever()
            finally:
                events.append(f"stop {self.name}")

        async def drain(self):
            events.append(f"drain {self.name}")
            if self.stuck:
                await anyio.sleep_forever()
            await anyio.sleep(self.drain_s)
            self.drained = True

    Probe.name = name.strip()
    Probe.needs = tuple(needs.split()) if needs else ()
    return Probe()


@given('a kernel with services "{specs}" and a drain limit of {limit_ms:d} ms')
def step_limited_kernel(context, specs, limit_ms):
    make_kernel(context, specs, drain_limit_ms=limit_ms)


@given('a kernel with services "{specs}"')
def step_kernel(context, specs):
    make_kernel(context, specs)


def make_kernel(context, specs, **options):
    context.events = []
    context.kernel = context.call(lambda: Kernel(SystemClock(), **options))
    context.probes = {}
    for spec in specs.split(","):
        probe = make_service(spec.strip(), context.events)
        context.probes[probe.name] = probe
        context.kernel.add(probe)


@given('service "{name}" never finishes draining')
def step_stuck(context, name):
    context.probes[name].stuck = True


@given('service "{name}" crashes {count:d} times')
def step_crashes(context, name, count):
    context.probes[name].crashes = count


@when("the kernel runs and is stopped")
def step_run_stop(context):
    async def run():
        await context.kernel.run(ready=context.kernel.stop)

    context.call(run)


@when('the kernel runs until "{name}" has started {count:d} times')
def step_run_until(context, name, count):
    async def run():
        async with anyio.create_task_group() as tg:
            tg.start_soon(context.kernel.run)
            while context.probes[name].starts < count:
                await anyio.sleep(0.005)
            context.kernel.stop()

    context.call(run)


@then('the events are "{events}"')
def step_events(context, events):
    assert context.events == [event.strip() for event in events.split(",")], context.events


@then('service "{name}" started {count:d} times')
def step_started(context, name, count):
    assert context.probes[name].starts == count


@then('running the kernel fails with "{text}"')
def step_fails(context, text):
    try:
        context.call(context.kernel.run)
    except KernelError as exc:
        assert text in str(exc), exc
    else:
        raise AssertionError("the kernel ran")
    assert context.events == []


@given('service "{name}" takes {ms:d} ms to drain')
def step_slow_drain(context, name, ms):
    context.probes[name].drain_s = ms / 1000


@when("the kernel runs and is stopped, and the drain limit is set to {limit_ms:d} ms {moment}")
def step_change_limit(context, limit_ms, moment):
    kernel = context.kernel

    async def run():
        async with anyio.create_task_group() as tg:
            if moment == "before that":
                kernel.set_drain_limit(limit_ms)
            else:
                tg.start_soon(change)
            await kernel.run(ready=kernel.stop)

    async def change():
        await anyio.sleep(0.02)
        kernel.set_drain_limit(limit_ms)

    context.call(run)


@then('service "{name}" was drained')
def step_drained(context, name):
    assert context.probes[name].drained
