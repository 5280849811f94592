"""How quickly a server reads prompts and writes answers, as its answers show.

Load it answers: engines of unlike speed in one region, and engines much slower or faster than
those of another deployment. With one speed for all, a slow engine looks as good as its
neighbours while both are idle and collects prompts that it reads for half as long again.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("INITIAL_PREFILL_TOKENS_PER_MS", "ServerSpeed")

# Before a server has answered: the order of size of today's engines.
INITIAL_PREFILL_TOKENS_PER_MS = 40.0
# What is believed stays within these bounds, whatever single answers suggest.
LEAST_READ_TOKENS_PER_MS, MOST_READ_TOKENS_PER_MS = 2.0, 400.0
# An answer to fewer tokens tells more of the way there than of the reading.
LEAST_TOKENS = 1_500
# Of the time to the first event, this much is spent on the way and on starting, in ms.
START_MS = 12.0
# Weight of one answer: other VMs' prompts, unheard yet, make single ones look slow.
ANSWER_WEIGHT = 0.1


@dataclass(slots=True)
class ServerSpeed:
    """What is believed of one life of a server."""

    read_tokens_per_ms: float = INITIAL_PREFILL_TOKENS_PER_MS
    write_ms_per_token: float = 0.0

    def prefill_ms(self, tokens: float) -> float:
        """Return how long the server reads so many prompt tokens."""
        return tokens / self.read_tokens_per_ms

    def record_prefill(self, tokens: int, took_ms: float) -> None:
        """Learn from a first event.

        :param tokens: what the server had to read before it, known others' prompts included.
        :param took_ms: the time from sending to the first event.
        """
        if tokens < LEAST_TOKENS or took_ms <= START_MS:
            return
        seen = tokens / (took_ms - START_MS)
        seen = min(MOST_READ_TOKENS_PER_MS, max(LEAST_READ_TOKENS_PER_MS, seen))
        self.read_tokens_per_ms *= (seen / self.read_tokens_per_ms) ** ANSWER_WEIGHT

    def decode_ms(self, tokens: int) -> float:
        """Return how long the server usually takes for an answer of at most so many tokens.

        0 before it has given one.
        """
        return tokens * self.write_ms_per_token

    def record_decode(self, tokens: int, took_ms: float) -> None:
        """Learn from the end of an answer.

        :param tokens: the most that it could have.
        :param took_ms: the time from its first event to its end.
        """
        if tokens <= 0:
            return
        seen = took_ms / tokens
        known = self.write_ms_per_token or seen
        self.write_ms_per_token = known + (seen - known) * ANSWER_WEIGHT
