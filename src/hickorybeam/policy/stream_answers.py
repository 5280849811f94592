"""Conclude a stream's version from what VMs answer that were asked for it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hickorybeam.policy.stream_versions import UNKNOWN_VERSION
from hickorybeam.policy.version_word import VersionWord, Witness

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

__all__ = ("OwnKnowledge", "StreamAnswers", "VmAnswer")

# VMs that a log line names.
MAX_NAMED = 6


@dataclass(frozen=True, slots=True)
class OwnKnowledge:
    """What the VM that asks knows itself of the versions of a service.

    ``sole`` is the key of the only version it has known lately, empty for several or none.
    ``is_new``: it has just started, so an earlier incarnation of it may have known others.
    ``confirmed_age_ms`` is how long ago a call to the store began that showed all changes until
    then, ``None`` if none began after the question. ``store_is_heard``: the store has had its say;
    it has confirmed that, failed, or leaves calls unanswered. ``followed_from`` is the revision
    from which on it has followed all changes, 0 if it has done so for some seconds. ``remembers``:
    it has done so for as long as callers may take streams up.
    """

    sole: bytes
    is_new: bool = False
    confirmed_age_ms: int | None = None
    store_is_heard: bool = False
    followed_from: int = 0
    remembers: bool = False


@dataclass(frozen=True, slots=True)
class VmAnswer:
    """What another VM answered.

    ``version_key`` is that of the stream's version, empty if the VM doesn't know the stream, which
    it has known for ``age_ms``. ``sole`` is the key of the only version of the service that the VM
    has known lately, empty for several, ``None`` if it has just started. ``disputed``: it knows
    the stream by two versions, so that no other answer counts. It has followed all changes of the
    store for long enough up to the revision ``complete_to``; 0 if it has not.
    """

    vm: str
    version_key: bytes
    sole: bytes | None
    disputed: bool = False
    age_ms: int = 0
    complete_to: int = 0


def name_some(vms: Sequence[str]) -> str:
    """Return the names of some VMs and the number of the others, for the log."""
    named = ", ".join(vms[:MAX_NAMED])
    return f"{named} and {len(vms) - MAX_NAMED} more" if len(vms) > MAX_NAMED else named


class StreamAnswers:
    """The answers to one question.

    A version that nobody names is concluded only from words that were given after the question:
    the store's, that this VM knows all servers there are, or those of all VMs that can have begun
    the stream. What was not heard, and what a VM heard earlier, shows nothing: a VM that is cut
    off hears of no other version, and neither do those that are cut off with it.

    :param vms: names of all VMs that are known.
    """

    def __init__(self, vms: Iterable[str]) -> None:
        self._vms = frozenset(vms)
        self._silent = set(self._vms)
        self._asked: set[str] = set()
        self._is_cut_off = bool(self._silent)
        # By what VMs say of the service's only version: who they are, and up to which revision they
        # have followed the store.
        self._vms_by_sole: dict[bytes | None, list[str]] = {}
        self._followed_to: dict[bytes | None, int] = {}
        self._words: dict[bytes, VersionWord] = {}
        self.disputed = False

    def note_asked(self, vms: Iterable[str]) -> None:
        """Note that some VMs have been asked."""
        self._asked.update(vms)

    def add(self, answer: VmAnswer) -> None:
        """Add a VM's answer."""
        self.disputed |= answer.disputed
        self._silent.discard(answer.vm)
        self._is_cut_off = False
        self._vms_by_sole.setdefault(answer.sole, []).append(answer.vm)
        followed_to = self._followed_to.get(answer.sole, 0)
        self._followed_to[answer.sole] = max(followed_to, answer.complete_to)
        key = answer.version_key
        if key != UNKNOWN_VERSION:
            self._words[key] = VersionWord(key, Witness.ANSWER, answer.vm, answer.age_ms)

    def heard_all(self, vms: Iterable[str]) -> bool:
        """Return whether all of some VMs have answered."""
        return self._silent.isdisjoint(vms)

    @property
    def told(self) -> VersionWord | None:
        """The word of a VM that knows the stream; ``None`` if none does, or they disagree."""
        if len(self._words) != 1 or self.disputed:
            return None
        return next(iter(self._words.values()))

    def may_be_sole(self, own: OwnKnowledge) -> bool:
        """Return whether no word so far speaks against this VM's only version."""
        if own.sole == UNKNOWN_VERSION or self._words or self.disputed:
            return False
        return self._vms_by_sole.keys() <= {None, own.sole}

    def conclude(self, own: OwnKnowledge) -> VersionWord | None:
        """Return the version told, or else the only one that can have begun the stream.

        A VM that nobody answers concludes nothing.
        """
        if self._is_cut_off or not self.may_be_sole(own):
            return self.told
        if own.confirmed_age_ms is not None and self._is_covered(own):
            return VersionWord(own.sole, Witness.STORE, age_ms=own.confirmed_age_ms)
        if self._is_unanimous(own):
            return VersionWord(own.sole, Witness.EVERY_VM, f"{len(self._asked)} VMs")
        return None

    def _is_covered(self, own: OwnKnowledge) -> bool:
        """Return whether no version can have come and gone before this VM followed the store.

        Where it doesn't remember that far back, a VM that does may be among those it has asked.
        """
        if own.remembers:
            return True
        if self._silent & self._asked:
            return False
        if not own.followed_from:
            return True
        return self._followed_to.get(own.sole, 0) >= own.followed_from

    def _is_unanimous(self, own: OwnKnowledge) -> bool:
        """Return whether every VM has answered that it has known this version only.

        VMs that nobody here knows aren't asked, so the store's word goes before.
        """
        if self._silent or own.is_new or not own.store_is_heard:
            return False
        return self._vms_by_sole.keys() <= {own.sole}

    def why_unknown(self, own: OwnKnowledge) -> str:
        """Return why no version is concluded, for the log."""
        said = {
            "known by": [str(it.vm) for it in self._words.values()],
            "several versions by": sorted(self._vms_by_sole.get(UNKNOWN_VERSION, ())),
            "just started": sorted(self._vms_by_sole.get(None, ())),
            "silent": sorted(self._silent & self._asked),
        }
        parts = [f"{what} {name_some(vms)}" for what, vms in said.items() if vms]
        parts.append(f"{len(self._asked)} VMs asked of {len(self._vms)}")
        if self.disputed:
            parts.append("disputed")
        if own.sole == UNKNOWN_VERSION:
            parts.append("several versions, or none, known here")
        if own.confirmed_age_ms is None:
            parts.append("not confirmed by the store")
        elif not own.remembers:
            parts.append("not long enough in step to remember all versions")
        if own.followed_from:
            parts.append(f"changes of the store followed from revision {own.followed_from} on")
        return "; ".join(parts)
