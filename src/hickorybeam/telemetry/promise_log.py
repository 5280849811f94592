"""Log the ground of each final answer that promises that a request was not run.

A promise that was wrong can only be traced if its line is there, so no rate limit applies. An
answer to a request that was sent somewhere gets a line of its own: sends cost far more. Under
overload most requests are refused unsent, thousands a second, and a line for each would take the
processor time that requests need: their ids are gathered, and share a line with others of the same
ground.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

from hickorybeam.clock import MS_PER_SECOND

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hickorybeam.clock import Clock
    from hickorybeam.telemetry.counters import Counters

__all__ = ("PROMISES_NOT_RUN", "PromiseLog")

# Callers take these to mean that the request was not run and never will be.
PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
# About 4 kB of a line.
MAX_IDS_PER_LINE = 200
MAX_GATHERED_MS = MS_PER_SECOND
# Callers choose their ids; a longer one is cut, so that a line stays short.
MAX_ID_LENGTH = 64
# Statuses and kinds are few; this bounds what is kept if a server invents statuses.
MAX_GROUNDS = 256


class PromiseLog:
    """Writes by id on what ground a request was said not to have run, or what was passed on."""

    def __init__(self, clock: Clock, counters: Counters) -> None:
        self._clock = clock
        self._gathered: dict[tuple[str, int, str], list[str]] = {}
        self._promises = counters.counter(
            "not_run_promises", "Final answers that promise that nothing ran", ("kind", "ground")
        )

    def write_unsent(self, request_id: str, *, status: int, kind: str) -> None:
        """Record an answer to a request that was never sent.

        :param kind: why it was not sent.
        """
        self._promises.labels(kind, "never_sent").inc()
        self._gather("not_run_unsent", status, kind, request_id)

    def write_unread(self, request_id: str, *, status: int, kind: str) -> None:
        """Record a request that was refused before all of it was read.

        :param request_id: empty if it was not read so far.
        """
        if status in PROMISES_NOT_RUN:
            self.write_unsent(request_id, status=status, kind=kind)
        else:
            self._gather("refused_unread", status, kind, request_id)

    @logging.skip_log_prefix
    def write_sent(
        self, request_id: str, *, status: int, kind: str, ground: str, sends: Sequence[str]
    ) -> None:
        """Record an answer to a request that was sent, or might have been.

        :param ground: whose word it is that nothing ran: ``server``, ``vm`` or ``unsent``.
        :param sends: each send with its connection, and the word that ended it.
        """
        self._promises.labels(kind, ground).inc()
        fields = {"request": request_id, "status": status, "kind": kind, "ground": ground}
        logging.info("not_run", extra={**fields, "sends": list(sends)})

    def write_passed_on(self, request_id: str, *, status: int, target: str) -> None:
        """Record a failure of a server that is passed on to the caller.

        :param target: the server's id, or the name of the VM that passed it on.
        """
        self._gather("passed_on", status, target, request_id)

    def _gather(self, event: str, status: int, ground: str, request_id: str) -> None:
        key = (event, status, ground)
        if key not in self._gathered and len(self._gathered) >= MAX_GROUNDS:
            self.flush()
        ids = self._gathered.setdefault(key, [])
        ids.append(request_id[:MAX_ID_LENGTH])
        if len(ids) >= MAX_IDS_PER_LINE:
            self._write(key, self._gathered.pop(key))

    def flush(self) -> None:
        """Write what is gathered."""
        gathered, self._gathered = self._gathered, {}
        for key, ids in gathered.items():
            self._write(key, ids)

    def _write(self, key: tuple[str, int, str], ids: list[str]) -> None:
        event, status, ground = key
        logging.info(event, extra={"status": status, "ground": ground, "requests": " ".join(ids)})

    async def run(self) -> None:
        """Write what is gathered at intervals until cancelled, and then the rest."""
        try:
            while True:
                await self._clock.sleep(MAX_GATHERED_MS)
                self.flush()
        finally:
            self.flush()
