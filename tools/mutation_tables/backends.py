"""Mutations of calls to backend servers, their choice, and orders to them."""

from __future__ import annotations

from tools.mutation_tables.mutation import Mutation

__all__ = ("MUTATIONS",)

MUTATIONS: tuple[Mutation, ...] = (
    # backend servers
    Mutation(
        "no credential reaches a backend server",
        "backends/headers.py",
        "NOT_FORWARDED = HOP_BY_HOP | CREDENTIALS | GATEWAY_HEADERS",
        "NOT_FORWARDED = HOP_BY_HOP | GATEWAY_HEADERS",
        "backends",
    ),
    Mutation(
        "hop-by-hop headers stay on their hop",
        "backends/headers.py",
        "NOT_FORWARDED = HOP_BY_HOP | CREDENTIALS",
        "NOT_FORWARDED = CREDENTIALS",
        "backends",
    ),
    # dispatch
    Mutation(
        "a booking that runs outlives its key",
        "dispatch/running.py",
        "            if running.sent and not running.call.idempotent:",
        "            if False:",
        "dispatch",
    ),
    Mutation(
        "an answer that began is not started again",
        "dispatch/attempts.py",
        "        if self._running.response_started:\n            return RetryDenied.ANSWER_BEGUN",
        "        if False:\n            return RetryDenied.ANSWER_BEGUN",
        "dispatch",
    ),
    Mutation(
        "an engine is told the deadline that is left",
        "dispatch/attempts.py",
        "            call = replace(running.call, deadline_ms=self._remaining_ms())\n"
        "            parts",
        "            call = running.call\n            parts",
        "dispatch/load.feature",
    ),
    Mutation(
        "what is known after a rest is caught up",
        "dispatch/service.py",
        "        self._scheduler_task.refresh_if_stale()\n",
        "",
        "dispatch/load.feature",
    ),
    # orders
    Mutation(
        "no order past the holder's own deadline",
        "control/lease_term.py",
        "        return self.send_from_ms <= now < self.send_until_ms",
        "        return self.send_from_ms <= now",
        "control",
    ),
    Mutation(
        "a new holder waits for the old one's last order",
        "control/lease_term.py",
        "        return self.send_from_ms <= now < self.send_until_ms",
        "        return now < self.send_until_ms",
        "control",
    ),
)
