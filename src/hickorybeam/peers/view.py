"""Who is in the fleet, as a view that VMs merge: the order of news never matters.

There is one record for each VM name, and two records of one name always have a winner, so
that merging is commutative, associative and idempotent. The winner is, in this order: the
later incarnation, the record that says the VM left, the higher version, the accusation of
silence. Only the VM itself raises its version: that is how one that was only cut off for a
while refutes the accusation, and why no third party's old news can bring it back.

Without the incarnation in front, news of the process that crashed would hide the one that
was started in its place, or bring it back after it was replaced.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

# Needed at run time: msgspec reads the field types when it encodes.
from hickorybeam.model import EntryVm  # noqa: TC001
from hickorybeam.peers.codec import pack

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ("DEPARTED_RETENTION_MS", "MemberRecord", "MembershipView", "winning_record")

# Records of VMs that left or fell silent are kept this long by the wall clock, longer than
# regions lose each other (an hour now and then): old news of a departed VM that comes out of
# a healed partition still meets its tombstone. 73 replacements a day leave about ten.
DEPARTED_RETENTION_MS = 3 * 3_600_000


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberRecord:
    """One VM as the fleet knows it.

    ``version`` is raised by the VM itself only. ``silent`` is an accusation by others at this
    version; ``gone`` is the VM's own last word. ``at_ms`` is the wall time of the change.
    """

    vm: EntryVm
    version: int = 1
    silent: bool = False
    gone: bool = False
    at_ms: int = 0

    @property
    def live(self) -> bool:
        """Whether the VM is believed to run."""
        return not (self.silent or self.gone)


def _rank(record: MemberRecord) -> tuple[str, bool, int, bool, int, bytes]:
    # The last two only make a winner of records that no correct VM lets differ.
    return (
        record.vm.id.incarnation,
        record.gone,
        record.version,
        record.silent,
        record.at_ms,
        pack(record.vm),
    )


def winning_record(one: MemberRecord, other: MemberRecord) -> MemberRecord:
    """Return the winner of two records of one VM name."""
    if one is other or one == other:
        return one
    return one if _rank(one) > _rank(other) else other


class MembershipView:
    """The records of one VM's view."""

    def __init__(self) -> None:
        self._records: dict[str, MemberRecord] = {}
        self._digest = 0

    def __iter__(self) -> Iterator[MemberRecord]:
        return iter(tuple(self._records.values()))

    def __len__(self) -> int:
        return len(self._records)

    @property
    def digest(self) -> int:
        """A fingerprint of all records but the departed, equal for equal views."""
        return self._digest

    def get(self, name: str) -> MemberRecord | None:
        """Return the record of a VM name."""
        return self._records.get(name)

    def merge(self, record: MemberRecord) -> bool:
        """Take a record in.

        :return: whether it changed the view.
        """
        name = record.vm.id.name
        known = self._records.get(name)
        if known is not None and winning_record(known, record) is known:
            return False
        self._records[name] = record
        self._digest ^= _fingerprint(record) ^ (_fingerprint(known) if known else 0)
        return True

    def remove_departed(self, wall_ms: int) -> tuple[str, ...]:
        """Drop records of VMs long departed and return their names."""
        old = tuple(
            name
            for name, record in self._records.items()
            if not record.live and wall_ms - record.at_ms > DEPARTED_RETENTION_MS
        )
        for name in old:
            self._digest ^= _fingerprint(self._records.pop(name))
        return old


def mark_silent(record: MemberRecord, wall_ms: int) -> MemberRecord:
    """Return the record as that of a VM which fell silent."""
    return replace(record, silent=True, at_ms=wall_ms)


def refute(own_record: MemberRecord, heard: MemberRecord, wall_ms: int) -> MemberRecord:
    """Return my record at a version that wins over what others say of me."""
    return replace(own_record, version=max(own_record.version, heard.version) + 1, at_ms=wall_ms)


def _fingerprint(record: MemberRecord) -> int:
    if record.gone:
        return 0
    return int.from_bytes(hashlib.blake2b(pack(record), digest_size=8).digest())
