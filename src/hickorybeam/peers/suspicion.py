"""Decides when a peer that does not reply counts as failed.

One unanswered heartbeat proves nothing: the peer may be paused for a moment, or the link
between just these two VMs may be down. A refused connection shows that no process listens there.
Either way, witnesses are asked before the peer is marked as silent. A VM to which no witness
replies may be cut off itself, so it marks no one.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ("PeerContact", "Verdict", "verdict_from")


class Verdict(Enum):
    """The result of asking witnesses about a peer that does not reply."""

    SILENT = "silent"
    REACHED_BY_OTHERS = "reached_by_others"
    UNCONFIRMED = "unconfirmed"


@dataclass(slots=True)
class PeerContact:
    """When this VM last received a message from a peer, by its own clock."""

    last_seen_ms: int

    def record_contact(self, now_ms: int) -> None:
        """Record a message received from the peer."""
        self.last_seen_ms = now_ms

    def exclude_pause(self, ms: int, now_ms: int) -> None:
        """Exclude a pause of this process from the time since the peer was last seen."""
        self.last_seen_ms = min(now_ms, self.last_seen_ms + ms)

    def record_failure(self, now_ms: int, *, refused: bool, silent_after_ms: int) -> bool:
        """Record an unanswered heartbeat.

        :param refused: the peer's machine replied that the process is not there.
        :return: whether witnesses are to be asked now.
        """
        return refused or now_ms - self.last_seen_ms >= silent_after_ms


def verdict_from(reached: Iterable[bool | None]) -> Verdict:
    """Return the verdict on a suspect.

    :param reached: for each witness, whether it reached the suspect; ``None`` if the witness did
        not reply.
    """
    replies = [reply for reply in reached if reply is not None]
    if any(replies):
        return Verdict.REACHED_BY_OTHERS
    return Verdict.SILENT if replies else Verdict.UNCONFIRMED
