"""Datagram messages by which a VM asks others which version began a stream."""

from __future__ import annotations

import msgspec

from hickorybeam.model.bounds import BoundedInt, Revision  # noqa: TC001 - read by msgspec
from hickorybeam.policy.stream_answers import VmAnswer

__all__ = ("StreamAnswer", "StreamQuestion")


class StreamQuestion(msgspec.Struct, frozen=True, array_like=True, tag="whose"):
    """Asks which version began a stream, and which one alone could have.

    ``digest`` is the stream's, empty if its caller names no request. ``service`` is the only one
    that may have served it, empty if there are several, and ``route`` is the route that led there.
    """

    vm: str
    number: BoundedInt
    digest: bytes
    service: str
    route: str = ""


class StreamAnswer(msgspec.Struct, frozen=True, array_like=True, tag="began"):
    """Answers a question.

    ``version_key`` is that of the stream's version, empty if the VM doesn't know the stream.
    ``sole`` is the key of the only version of the service that the VM has known lately, empty if
    there were several, ``None`` if it has just started. ``disputed``: the VM knows the stream by
    two versions. ``age_ms`` is how long it has known the stream. It has followed all changes of
    the store for some seconds up to the revision ``complete_to``; 0 if it has not.
    """

    vm: str
    number: BoundedInt
    version_key: bytes
    sole: bytes | None
    disputed: bool = False
    age_ms: BoundedInt = 0
    complete_to: Revision = 0

    def to_vm_answer(self) -> VmAnswer:
        """Return the answer in the form in which versions are concluded from it."""
        return VmAnswer(
            self.vm,
            self.version_key,
            self.sole,
            disputed=self.disputed,
            age_ms=self.age_ms,
            complete_to=self.complete_to,
        )
