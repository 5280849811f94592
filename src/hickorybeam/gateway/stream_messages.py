"""Datagram messages by which a VM asks others which version began a stream."""

from __future__ import annotations

import msgspec

from hickorybeam.model.bounds import BoundedInt  # noqa: TC001 - read by msgspec

__all__ = ("StreamAnswer", "StreamQuestion")


class StreamQuestion(msgspec.Struct, frozen=True, array_like=True, tag="whose"):
    """Asks which version began a stream, and which one alone could have.

    ``digest`` is the stream's, empty if its caller names no request. ``service`` is the only one
    that may have served it, empty if there are several.
    """

    vm: str
    number: BoundedInt
    digest: bytes
    service: str


class StreamAnswer(msgspec.Struct, frozen=True, array_like=True, tag="began"):
    """Answers a question.

    ``version_key`` is that of the stream's version, empty if the VM doesn't know the stream.
    ``sole`` is the key of the only version that the service has had lately, empty if there were
    several, ``None`` if the VM can't tell. ``disputed``: the VM knows the stream by two versions.
    ``age_ms`` is how long it has known the stream.
    """

    vm: str
    number: BoundedInt
    version_key: bytes
    sole: bytes | None
    disputed: bool = False
    age_ms: BoundedInt = 0
