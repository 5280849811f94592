"""Set-up of every scenario: one event loop in a thread, which steps call into."""

from __future__ import annotations

import sys
from contextlib import ExitStack

from anyio.from_thread import start_blocking_portal

# behave puts a Path object on sys.path, at which hypothesis stumbles while it is imported.
kept, sys.path = sys.path, [str(path) for path in sys.path]
import hypothesis  # noqa: E402, F401

sys.path = kept


def before_scenario(context, scenario):
    context.stack = ExitStack()
    context.portal = context.stack.enter_context(start_blocking_portal())
    context.call = context.portal.call


def after_scenario(context, scenario):
    context.stack.close()
