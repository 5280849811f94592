from __future__ import annotations

import json
import os
import select
import time
from contextlib import ExitStack

from absl import logging
from behave import given, then, when

from hickorybeam.clock import ManualClock
from hickorybeam.settings import LogSettings
from hickorybeam.telemetry import Counters, logs
from hickorybeam.telemetry.decisions import DecisionLog
from support.gateway import small_gateway

QUIET_S = 0.3
READ_BYTES = 65_536


@given("a process that logs to a pipe")
def step_pipe(context):
    context.read, write = os.pipe()
    context.stack.callback(os.close, context.read)
    context.stack.callback(os.close, write)
    context.logging = context.stack.enter_context(ExitStack())
    context.logging.enter_context(
        logs.process_logging(LogSettings(format="json"), descriptor=write)
    )
    context.raw = b""


@given("a small gateway with a VM")
def step_gateway(context):
    manager = context.portal.wrap_async_context_manager(small_gateway())
    context.rig = context.stack.enter_context(manager)


@when('a decision "{event}" is logged with request "{request}" and first_ms {first_ms:d}')
def step_decision(context, event, request, first_ms):
    DecisionLog(ManualClock()).write(event, request=request, first_ms=first_ms)


@when("{count:d} lines of {size:d} bytes are logged")
@when("{count:d} lines of {size:d} bytes are logged and nobody reads them")
def step_lines(context, count, size):
    context.logged = count
    for _ in range(count):
        logging.info("x" * size)


@when("an error is logged with its traceback")
def step_error(context):
    try:
        _ = 1 / 0
    except ZeroDivisionError:
        logging.exception("failed")


@when("the pipe is read until it is quiet, and one more line is logged")
def step_read_until_quiet(context):
    drain(context)
    context.logged += 1
    logging.info("one more")
    drain(context)


@when("its logging ends")
def step_finish(context):
    context.logging.close()
    drain(context)


@then('a line has event "{event}", request "{request}" and first_ms {first_ms:d}')
def step_decision_line(context, event, request, first_ms):
    (line,) = [it for it in parsed_lines(context) if it["event"] == event]
    assert (line["request"], line["first_ms"]) == (request, first_ms), line
    assert line["level"] == "info" and line["where"].startswith("logs_steps.py:"), line
    assert abs(line["time"] - time.time()) < 60, line


@then("a caller gets {status:d} from the VM")
def step_answered(context, status):
    found = context.call(lambda: context.rig.call("n1", "/look/x", key="large"))
    assert found.status == status, found


@then("the last line is that one, and the lines together report how many were dropped")
def step_dropped(context):
    lines = parsed_lines(context)
    assert lines[-1]["event"] == "one more", lines[-1]
    context.dropped = sum(it.get("lines_lost", 0) for it in lines)
    assert context.dropped > 0


@then("the metric has the same number")
def step_dropped_metric(context):
    metric = f"hickorybeam_log_lines_lost {context.dropped}.0".encode()
    assert metric in Counters().text(), (metric, logs.dropped_lines())


@then("every line that was not dropped arrived")
def step_rest_arrived(context):
    assert len(parsed_lines(context)) == context.logged - context.dropped


@then("{count:d} lines arrived")
def step_count(context, count):
    assert len(parsed_lines(context)) == count


@then("its logging ends within {ms:d} ms")
def step_ends_within(context, ms):
    started = time.monotonic()
    context.logging.close()
    assert (time.monotonic() - started) * 1000 < ms


@then('a line has event "{event}" and an error that names "{name}"')
def step_traceback(context, event, name):
    (line,) = [it for it in parsed_lines(context) if it["event"] == event]
    assert name in line["error"]


def drain(context):
    while select.select([context.read], [], [], QUIET_S)[0]:
        context.raw += os.read(context.read, READ_BYTES)


def parsed_lines(context):
    return [json.loads(line) for line in context.raw.splitlines()]
