"""Estimate how quickly a server prefills, decodes and frees its slots, from its responses.

Engines of one region differ in speed, and so do those of different deployments. With one speed
assumed for all, a slow engine looks as good as its neighbours while both are idle, and collects
prompts that it takes half as long again to prefill. What a place in a server's own queue costs
differs more: a lookup of 20 ms and a stream of several seconds hold a slot for as long as they run,
and servers have from 6 to 64 slots.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ("INITIAL_PREFILL_TOKENS_PER_MS", "ServerSpeed")

# Until a server has responded: the order of magnitude of today's engines.
INITIAL_PREFILL_TOKENS_PER_MS = 40.0
# Bounds of the estimate, whatever single responses suggest.
MIN_PREFILL_TOKENS_PER_MS, MAX_PREFILL_TOKENS_PER_MS = 2.0, 400.0
MAX_DECODE_MS_PER_TOKEN = 1_000.0
# The first event of a smaller prompt shows the network delay rather than the prefill.
MIN_PROMPT_TOKENS = 1_500
# Share of the time to the first event that goes to the network and to starting the request.
START_MS = 12.0
# Wait for each request ahead in a full server's queue, until one has ended there, and its bounds.
INITIAL_QUEUE_STEP_MS = 60.0
MIN_QUEUE_STEP_MS, MAX_QUEUE_STEP_MS = 0.5, 300.0
# Bounds of the time for which a request holds a slot.
MIN_SLOT_MS, MAX_SLOT_MS = 1.0, 60_000.0
# Weight of one response: other VMs' prompts, not reported yet, make single ones look slow.
RESPONSE_WEIGHT = 0.1


@dataclass(slots=True)
class ServerSpeed:
    """Estimated speed of one incarnation of a server."""

    prefill_tokens_per_ms: float = INITIAL_PREFILL_TOKENS_PER_MS
    decode_ms_per_token: float = 0.0
    slot_ms: float = 0.0

    def prefill_ms(self, tokens: float) -> float:
        """Return the time that the server takes to prefill this many prompt tokens."""
        return tokens / self.prefill_tokens_per_ms

    def record_prefill(self, tokens: int, took_ms: float) -> None:
        """Update the prefill speed from a first event.

        :param tokens: prompt tokens to be prefilled up to that event, including the known ones of
            other requests.
        :param took_ms: time from sending the request to the first event.
        """
        if tokens < MIN_PROMPT_TOKENS or not START_MS < took_ms < math.inf:
            return
        measured = tokens / (took_ms - START_MS)
        measured = min(MAX_PREFILL_TOKENS_PER_MS, max(MIN_PREFILL_TOKENS_PER_MS, measured))
        self.prefill_tokens_per_ms *= (measured / self.prefill_tokens_per_ms) ** RESPONSE_WEIGHT

    def decode_ms(self, tokens: int) -> float:
        """Return the usual time to decode a response of at most this many tokens.

        It is 0 until the server has completed a response.
        """
        return tokens * self.decode_ms_per_token

    def record_decode(self, tokens: int, took_ms: float) -> None:
        """Update the decode speed from the end of a response.

        :param tokens: maximum output tokens of the request.
        :param took_ms: time from the first event to the end.
        """
        if tokens <= 0 or not math.isfinite(took_ms):
            return
        measured = min(MAX_DECODE_MS_PER_TOKEN, max(0.0, took_ms / tokens))
        known = self.decode_ms_per_token or measured
        self.decode_ms_per_token = known + (measured - known) * RESPONSE_WEIGHT

    def queue_step_ms(self, slots: int) -> float:
        """Return the wait for each request ahead in the server's queue once its slots are taken.

        A queue moves on whenever one of the slots is freed.
        """
        if not self.slot_ms:
            return INITIAL_QUEUE_STEP_MS
        return min(MAX_QUEUE_STEP_MS, max(MIN_QUEUE_STEP_MS, self.slot_ms / max(1, slots)))

    def record_slot(self, took_ms: float) -> None:
        """Update the time for which a request holds a slot, from one that ended.

        :param took_ms: time from sending it to its end, less its expected wait in the queue.
        """
        if not math.isfinite(took_ms):
            return
        measured = min(MAX_SLOT_MS, max(MIN_SLOT_MS, took_ms))
        known = self.slot_ms or measured
        self.slot_ms = known + (measured - known) * RESPONSE_WEIGHT
