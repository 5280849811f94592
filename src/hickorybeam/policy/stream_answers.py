"""Conclude a stream's version from what VMs answer that were asked for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.policy.stream_versions import UNKNOWN_VERSION

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ("StreamAnswers",)


class StreamAnswers:
    """The answers to one question.

    :param asked: names of the VMs that were asked, nearest first.
    :param sole: what this VM itself says of the service's only version, as an answer does.
    """

    def __init__(self, asked: Iterable[str], *, sole: bytes | None) -> None:
        self._silent = set(asked)
        self._is_cut_off = bool(self._silent)
        self._keys: set[bytes] = set()
        self.disputed = False
        self._soles = {sole}

    def add(
        self, vm: str, version_key: bytes, sole: bytes | None, *, disputed: bool = False
    ) -> None:
        """Add a VM's answer.

        :param disputed: the VM knows the stream by two versions, so that no other answer counts.
        """
        self.disputed |= disputed
        self._silent.discard(vm)
        self._is_cut_off = False
        self._soles.add(sole)
        if version_key != UNKNOWN_VERSION:
            self._keys.add(version_key)

    def heard_all(self, vms: Iterable[str]) -> bool:
        """Return whether all of some VMs have answered."""
        return self._silent.isdisjoint(vms)

    @property
    def told(self) -> bytes | None:
        """The version that VMs know the stream by; ``None`` if none does, or they disagree."""
        return next(iter(self._keys)) if len(self._keys) == 1 and not self.disputed else None

    @property
    def concluded(self) -> bytes | None:
        """The version told, or else the only one that could have begun the stream.

        One VM that knows of several versions outweighs all that know of one: it heard of the
        other version first. A VM that nobody answers concludes nothing, since it may be cut off
        from whoever has heard of another version.
        """
        if self._keys or self.disputed or self._is_cut_off:
            return self.told
        soles = self._soles - {None}
        sole = soles.pop() if len(soles) == 1 else None
        return sole or None
