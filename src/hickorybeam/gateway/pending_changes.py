"""Changes of the store that a VM has received and not yet applied, in order."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from absl import logging

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = ("PendingChanges", "Step")


class Step(NamedTuple):
    """One step of applying changes: an entry's key, or what else is done, and how."""

    subject: str
    run: Callable[[], None]


class PendingChanges:
    """Applies changes step by step, and keeps what stands behind a step that fails.

    A service that fails at one entry is started again. If it had noted the place up to which it
    received changes, it would skip those behind that entry; if it received them again, it would
    fail at the same entry. Each step is taken off before it is run, so the rest is applied by the
    next ``apply``, and the failing one is not met again.
    """

    def __init__(self) -> None:
        self._steps: deque[Step] = deque()

    def add(self, steps: Iterable[Step]) -> None:
        """Append steps."""
        self._steps.extend(steps)

    def apply(self) -> None:
        """Run all steps; an error of one leaves those behind it."""
        while self._steps:
            step = self._steps.popleft()
            try:
                step.run()
            except Exception as exc:
                logging.error(
                    "cannot apply %s: %s; %d steps behind it are pending",
                    step.subject,
                    type(exc).__name__,
                    len(self._steps),
                )
                raise
