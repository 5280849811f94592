"""When a peer that does not answer counts as failed.

One unanswered heartbeat proves nothing: the peer may be paused for a moment, or the link
between just these two may be down. A refused connection shows that no process listens there.
Either way other VMs are asked before anyone is accused, and a VM that nobody answers takes
itself for the one that is cut off and accuses no one.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ("PeerContact", "Verdict", "verdict_from")


class Verdict(Enum):
    """What to make of a peer that does not answer."""

    SILENT = "silent"
    REACHED_BY_OTHERS = "reached_by_others"
    UNCONFIRMED = "unconfirmed"


@dataclass(slots=True)
class PeerContact:
    """What one VM knows of its contact with a peer; times are ms of its own clock."""

    last_seen_ms: int
    failures: int = 0

    def record_contact(self, now_ms: int) -> None:
        """Note a sign of life."""
        self.last_seen_ms = now_ms
        self.failures = 0

    def exclude_pause(self, ms: int, now_ms: int) -> None:
        """Leave out a time in which this VM could not hear anything."""
        self.last_seen_ms = min(now_ms, self.last_seen_ms + ms)

    def record_failure(self, now_ms: int, *, refused: bool, silent_after_ms: int) -> bool:
        """Note an unanswered heartbeat.

        :param refused: the peer's machine answered that nothing listens there.
        :return: whether it is time to ask others.
        """
        self.failures += 1
        return refused or now_ms - self.last_seen_ms >= silent_after_ms


def verdict_from(reached: Iterable[bool | None]) -> Verdict:
    """Return the verdict on a suspect.

    :param reached: for each VM asked, whether it reached the suspect; ``None`` when it did
        not answer us at all.
    """
    answers = [answer for answer in reached if answer is not None]
    if any(answers):
        return Verdict.REACHED_BY_OTHERS
    return Verdict.SILENT if answers else Verdict.UNCONFIRMED
