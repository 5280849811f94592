"""Conclude a stream's version from what VMs answer that were asked for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.policy.stream_versions import UNKNOWN_VERSION
from hickorybeam.policy.version_word import VersionWord, Witness

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
        self._words: dict[bytes, VersionWord] = {}
        self.disputed = False
        # By VM, what it says of the service's only version; this VM's name is empty.
        self._soles = {"": sole}

    def add(
        self,
        vm: str,
        version_key: bytes,
        sole: bytes | None,
        *,
        disputed: bool = False,
        age_ms: int = 0,
    ) -> None:
        """Add a VM's answer.

        :param disputed: the VM knows the stream by two versions, so that no other answer counts.
        :param age_ms: how long it has known the stream.
        """
        self.disputed |= disputed
        self._silent.discard(vm)
        self._is_cut_off = False
        self._soles[vm] = sole
        if version_key != UNKNOWN_VERSION:
            self._words[version_key] = VersionWord(version_key, Witness.ANSWER, vm, age_ms)

    def heard_all(self, vms: Iterable[str]) -> bool:
        """Return whether all of some VMs have answered."""
        return self._silent.isdisjoint(vms)

    @property
    def told(self) -> VersionWord | None:
        """The word of a VM that knows the stream; ``None`` if none does, or they disagree."""
        return (
            next(iter(self._words.values()))
            if len(self._words) == 1 and not self.disputed
            else None
        )

    @property
    def concluded(self) -> VersionWord | None:
        """The version told, or else the only one that could have begun the stream.

        One VM that knows of several versions outweighs all that know of one: it heard of the
        other version first. A VM that nobody answers concludes nothing, since it may be cut off
        from whoever has heard of another version.
        """
        if self._words or self.disputed or self._is_cut_off:
            return self.told
        soles = set(self._soles.values()) - {None}
        sole = soles.pop() if len(soles) == 1 else None
        return VersionWord(sole, Witness.SOLE_VERSION) if sole else None

    def why_unknown(self) -> str:
        """Return why no version is concluded, for the log."""
        said = {
            "two versions by": [str(it.vm) for it in self._words.values()],
            "several versions by": self._vms_that_say(UNKNOWN_VERSION),
            "cannot tell": self._vms_that_say(None),
            "silent": sorted(self._silent),
        }
        parts = [f"{what}: {', '.join(vms)}" for what, vms in said.items() if vms]
        return "; ".join(["disputed"] * self.disputed + parts)

    def _vms_that_say(self, sole: bytes | None) -> list[str]:
        return sorted(vm or "this VM" for vm, said in self._soles.items() if said == sole)
