"""Set-up of every scenario: one event loop in a thread, which steps call into."""

from __future__ import annotations

from contextlib import ExitStack

from anyio.from_thread import start_blocking_portal


def before_scenario(context, scenario):
    context.stack = ExitStack()
    context.portal = context.stack.enter_context(start_blocking_portal())
    context.call = context.portal.call


def after_scenario(context, scenario):
    context.stack.close()
