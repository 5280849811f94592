"""The datagram message by which VMs tell each other of servers that crashed, and under what."""

from __future__ import annotations

import msgspec

from hickorybeam.policy.crash_messages import ToldPart  # noqa: TC001 - msgspec reads it

__all__ = ("CrashNotice",)


class CrashNotice(msgspec.Struct, frozen=True, array_like=True, tag="crashed"):
    """What a VM has learned of parts of prompts since its last notice.

    ``relayed``: a VM of the receiver's data centre passes it on.
    """

    vm: str
    parts: list[ToldPart]
    relayed: bool = False
