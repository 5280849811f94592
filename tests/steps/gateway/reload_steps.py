from __future__ import annotations

import tempfile
from pathlib import Path

import anyio
from behave import given, then, when

from hickorybeam.clock import SystemClock
from hickorybeam.gateway.reload import SettingsFile
from hickorybeam.settings import load_settings
from steps.gateway.gateway_steps import BODY, ask, start


@given("a daemon of a small gateway, started from a settings file")
def step_settings_file(context):
    start(context, vms=("n1",))
    rig = context.rig
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.path = Path(folder) / "vm.json"
    write_settings(context, "repeat_allowance: 40")
    vm = rig.vms["n1"]
    cfg = load_settings(context.path)
    context.file = context.call(SettingsFile, str(context.path), cfg, vm.kernel, SystemClock())


def write_settings(context, line):
    url = context.rig.url
    context.path.write_text(
        f"""{{vm: {{name: "n1", region: "north", data_centre: "north-1"}},
        platform: {{urls: ["{url}"], prefix: "hickorybeam/"}},
        peers: {{tls: {{plain: true}}}},
        gateway: {{regions: {{"north-1": "north", "south-1": "south"}}, {line}}}}}"""
    )


def allowance_of(context):
    return context.rig.vms["n1"].relay._handler._cfg.repeat_allowance


@when('its settings file changes to "{line}" while a stream runs')
def step_settings_change_while_streaming(context, line):
    async def change():
        rig = context.rig
        rig.servers["m1"].work_ms = 200
        async with anyio.create_task_group() as tg:
            tg.start_soon(context.file.poll)

            async def stream():
                context.stream = await rig.call(
                    "n1", "/chat/x", method="POST", body=BODY, tokens=b"50,10"
                )

            tg.start_soon(stream)
            write_settings(context, line)
            with anyio.move_on_after(5):
                while allowance_of(context) == 40:
                    await anyio.sleep(0.02)
            await rig.until(lambda: hasattr(context, "stream"))
            tg.cancel_scope.cancel()

    context.call(change)


@when('its settings file changes to "{line}" and is reloaded')
def step_settings_reloaded(context, line):
    write_settings(context, line)
    context.call(context.file.reload)


@then("within {limit:d} s its retry allowance is {allowance:d}")
def step_allowance_within(context, limit, allowance):
    assert allowance_of(context) == allowance


@then("its retry allowance is {allowance:d}")
def step_allowance(context, allowance):
    assert allowance_of(context) == allowance


@then("it still serves callers")
def step_still_serves(context):
    ask(context, "n1", "/look/x")
    assert context.reply.status == 200


@when("its grace period is raised to {grace:d} s {moment}, and it is stopped while a stream runs")
def step_stopped_while_streaming(context, grace, moment):
    rig = context.rig
    vm = rig.vms["n1"]

    async def raise_grace():
        write_settings(context, f"grace_s: {grace}")
        await context.file.reload()

    async def run():
        async with anyio.create_task_group() as tg:
            if "before" in moment:
                await raise_grace()

            async def stream():
                context.stream = await rig.call(
                    "n1", "/chat/x", method="POST", body=BODY, tokens=b"50,10", wait_ms=8_000
                )

            tg.start_soon(stream)
            await anyio.sleep(0.1)
            vm.kernel.stop()
            if "after" in moment:
                await anyio.sleep(0.5)
                await raise_grace()

    context.call(run)
