"""Set-up of every scenario: an event loop in a thread, in which steps run their calls.

A step that hangs fails with the stacks of its tasks. The limits are far above what any step takes:
they only end a hung run and decide no result.
"""

from __future__ import annotations

import asyncio
import faulthandler
import gc
import io
import sys
from concurrent.futures import TimeoutError as FutureTimeoutError
from contextlib import ExitStack

from anyio.from_thread import start_blocking_portal

# behave puts a Path object on sys.path, and hypothesis fails to import with it.
original_path, sys.path = sys.path, [str(path) for path in sys.path]
import hypothesis  # noqa: E402, F401

sys.path = original_path

CALL_LIMIT_S = 60
STEP_LIMIT_S = 180


def before_all(context):
    # A full collection scans all modules that behave, hypothesis and the steps have loaded. On a
    # busy machine this stops every VM of the process for half a second, and a request during that
    # time gets no connection within its 300 ms. Objects loaded by now are never garbage.
    gc.collect()
    gc.freeze()


def before_scenario(context, scenario):
    context.portal_stack = ExitStack()
    context.portal = context.portal_stack.enter_context(start_blocking_portal())
    context.stack = ExitStack()

    def call(func, *args):
        future = context.portal.start_task_soon(func, *args)
        try:
            return future.result(CALL_LIMIT_S)
        except FutureTimeoutError:
            if future.done():
                raise
            stacks = context.portal.call(task_stacks)
            future.cancel()
            raise AssertionError(f"hung for {CALL_LIMIT_S} s in {func}:\n{stacks}") from None

    context.call = call


def task_stacks():
    out = io.StringIO()
    for task in asyncio.all_tasks():
        task.print_stack(limit=6, file=out)
    return out.getvalue()


def before_step(context, step):
    faulthandler.dump_traceback_later(STEP_LIMIT_S, exit=True, file=sys.__stderr__)


def after_step(context, step):
    faulthandler.cancel_dump_traceback_later()


def after_scenario(context, scenario):
    faulthandler.dump_traceback_later(STEP_LIMIT_S, exit=True, file=sys.__stderr__)
    context.stack.close()
    if scenario.status.has_failed():
        # A failed step may have left tasks running, and the portal would wait for them forever.
        context.portal.call(context.portal.stop, True)
    context.portal_stack.close()
    faulthandler.cancel_dump_traceback_later()
