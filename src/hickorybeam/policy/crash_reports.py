"""What a VM tells of its evidence of crashes: news to all VMs, and all that one has missed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.policy.crash_messages import ToldCrash, ToldPart
from hickorybeam.policy.crash_suspects import MIN_CRASHES_TOLD, Suspect

if TYPE_CHECKING:
    from collections.abc import Container, Mapping

__all__ = ("CrashReports",)

# A datagram may be lost.
TIMES_TOLD = 3
MAX_TOLD_AT_ONCE = 16
MAX_REPORTED = 2
MAX_TOLD_TO_STARTING_VM = 256


class CrashReports:
    """Chooses what is told of suspects, and how often.

    :param suspects: all suspects, in the order of their last crash.
    :param blocked: those that are blocked.
    """

    def __init__(self, suspects: Mapping[bytes, Suspect], blocked: Container[bytes]) -> None:
        self._suspects = suspects
        self._blocked = blocked
        # By part: how many more times it is told.
        self._untold: dict[bytes, int] = {}
        # Reports take turns with the parts where there are many; the next one begins here.
        self._reported = 0

    def plan(self, part: bytes) -> None:
        """Tell other VMs of a part or request, of which something was learned here."""
        self._untold[part] = TIMES_TOLD

    def forget(self, part: bytes) -> None:
        """Tell nothing more of a part or request that is no suspect any more."""
        self._untold.pop(part, None)

    def take_untold(self, now_ms: int) -> list[ToldPart]:
        """Return what other VMs have yet to be told, what has most crashes first."""
        found = []
        for part in sorted(self._untold, key=self._crashes_of, reverse=True)[:MAX_TOLD_AT_ONCE]:
            self._untold[part] -= 1
            if not self._untold[part]:
                del self._untold[part]
            if part in self._suspects:
                found.append(self.told(part, now_ms))
        return found

    def to_report(self, now_ms: int, *, to_new_vm: bool = False) -> list[ToldPart]:
        """Return what VMs that start, or missed it, need: what is blocked, or nearly.

        :param to_new_vm: the receiver has just started and needs more than its turn of the parts.
        """
        parts = [
            part
            for part, suspect in self._suspects.items()
            if suspect.blocked or len(suspect.crashes) >= MIN_CRASHES_TOLD
        ]
        if to_new_vm:
            parts.sort(key=self._blocked.__contains__)
            return [self.told(part, now_ms) for part in parts[-MAX_TOLD_AT_ONCE:]]
        first = self._reported
        self._reported = first + MAX_REPORTED if first + MAX_REPORTED < len(parts) else 0
        return [self.told(part, now_ms) for part in parts[first : first + MAX_REPORTED]]

    def to_note(self, now_ms: int) -> list[ToldPart]:
        """Return what other VMs need of requests, where each message holds all that is told."""
        found = sorted(self._suspects, key=self._crashes_of)
        return [self.told(it, now_ms) for it in found[-MAX_TOLD_AT_ONCE:]]

    def to_starting_vm(self, now_ms: int) -> list[ToldPart]:
        """Return what a VM needs that starts while the store is away: the most suspected."""
        found = sorted(self._suspects, key=self._crashes_of)
        found.sort(key=self._blocked.__contains__)
        return [self.told(it, now_ms) for it in found[-MAX_TOLD_TO_STARTING_VM:]]

    def to_record(self, now_ms: int) -> list[ToldPart]:
        """Return what VMs that start after the end of all others need of requests not blocked."""
        found = [
            key
            for key, suspect in self._suspects.items()
            if suspect.is_request and suspect.has_ended() and not suspect.blocked
        ]
        found.sort(key=self._crashes_of)
        return [self.told(key, now_ms) for key in found[-MAX_TOLD_AT_ONCE:]]

    def told(self, part: bytes, now_ms: int) -> ToldPart:
        """Return what is known of a part, as it is told."""
        suspect = self._suspects.get(part) or Suspect()
        crashes = [
            ToldCrash(server, now_ms - crash.at_ms, crash.request)
            for server, crash in suspect.crashes.items()
        ]
        return ToldPart(part, crashes, list(suspect.cleared), suspect.blocked)

    def _crashes_of(self, part: bytes) -> int:
        suspect = self._suspects.get(part)
        return 0 if suspect is None else len(suspect.crashes)
