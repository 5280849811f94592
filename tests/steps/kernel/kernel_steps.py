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
