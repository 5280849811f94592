"""One VM's view of the fleet: member records that merge to the same view in any order.

There is one record for each VM name, and two records of one name always have a winner, so
that merging is commutative, associative and idempotent. The winner is, in this order: the
later incarnation, the record that says the VM left, the higher version, the one marked as
silent. Only the VM itself raises its version: this is how a VM that was cut off for a while
refutes the mark, and why an outdated record from a third VM cannot bring it back.

Without the incarnation first, records of a crashed process would hide the one started in its
place, or bring the old one back after it was replaced.
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

# How long records of VMs that left or fell silent are kept as tombstones, by the wall clock. It
# exceeds the partitions between regions (an hour now and then), so that an outdated record of a
# departed VM from a healed partition still loses. 73 replacements a day leave about ten tombstones.
DEPARTED_RETENTION_MS = 3 * 3_600_000


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberRecord:
    """The state of one VM in the view.

    ``version`` is raised by the VM itself only. ``silent`` is set by others at this version,
    ``gone`` by the VM itself when it leaves. ``at_ms`` is the wall time of the change.
    """

    vm: EntryVm
    version: int = 1
    silent: bool = False
    gone: bool = False
    at_ms: int = 0

    @property
    def live(self) -> bool:
        """Whether the VM is neither silent nor gone."""
        return not (self.silent or self.gone)


def _precedence(record: MemberRecord) -> tuple[str, bool, int, bool, int, bytes]:
    # The last two break ties between records that correct VMs never let differ.
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
    return one if _precedence(one) > _precedence(other) else other


class MembershipView:
    """The member records known to one VM, one for each VM name."""

    def __init__(self) -> None:
        self._records: dict[str, MemberRecord] = {}
        self._digest = 0

    def __iter__(self) -> Iterator[MemberRecord]:
        return iter(tuple(self._records.values()))

    def __len__(self) -> int:
        return len(self._records)

    @property
    def digest(self) -> int:
        """Digest of all records except those of VMs that left; equal for equal views."""
        return self._digest

    def get(self, name: str) -> MemberRecord | None:
        """Return the record of a VM name."""
        return self._records.get(name)

    def merge(self, record: MemberRecord) -> bool:
        """Merge a record.

        :return: whether it changed the view.
        """
        name = record.vm.id.name
        known = self._records.get(name)
        if known is not None and winning_record(known, record) is known:
            return False
        self._records[name] = record
        self._digest ^= _digest_of(record) ^ (_digest_of(known) if known else 0)
        return True

    def remove_departed(self, wall_ms: int) -> tuple[str, ...]:
        """Remove the records of VMs that departed long ago, and return their names."""
        expired = tuple(
            name
            for name, record in self._records.items()
            if not record.live and wall_ms - record.at_ms > DEPARTED_RETENTION_MS
        )
        for name in expired:
            self._digest ^= _digest_of(self._records.pop(name))
        return expired


def mark_silent(record: MemberRecord, wall_ms: int) -> MemberRecord:
    """Return the record marked as silent."""
    return replace(record, silent=True, at_ms=wall_ms)


def refute(own_record: MemberRecord, received: MemberRecord, wall_ms: int) -> MemberRecord:
    """Return the own record at a version that wins over a received record of this VM."""
    return replace(own_record, version=max(own_record.version, received.version) + 1, at_ms=wall_ms)


def _digest_of(record: MemberRecord) -> int:
    if record.gone:
        return 0
    return int.from_bytes(hashlib.blake2b(pack(record), digest_size=8).digest())
