"""Log and count the streams that go on at a server, with the version of its software."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from hickorybeam.gateway.targets import PeerTarget, ServerTarget

if TYPE_CHECKING:
    from hickorybeam.gateway.final_responses import FinalResponses
    from hickorybeam.gateway.progress import RequestProgress
    from hickorybeam.gateway.targets import AdmittedRequest, Target
    from hickorybeam.telemetry import Counters

__all__ = ("ResumedBy", "ResumedStreams", "version_of")


# The version's ground where nobody was asked for it: the events that this VM has passed on itself,
# or the VM of another region that forwarded the request.
OWN_RESPONSE = "own_response"
FORWARDED = "forwarded"


class ResumedBy(Enum):
    """Who resumed a stream: its caller, with a new request, or this VM, inside one response."""

    CALLER = "caller"
    VM = "vm"


class ResumedStreams:
    """Records the streams that go on."""

    def __init__(self, counters: Counters, log: FinalResponses) -> None:
        self._log = log
        self._resumed = counters.counter(
            "streams_resumed", "Streams that went on at a server or another VM", ("by",)
        )

    def record(self, request: AdmittedRequest, progress: RequestProgress, target: Target) -> None:
        """Record the stream of a target's response, unless it is a new one."""
        if request.resume_after is None and request.call.resumes is None:
            return
        by = ResumedBy.VM if progress.began else ResumedBy.CALLER
        word = request.version_word
        self._resumed.labels(by.value).inc()
        self._log.log_decision(
            "resumed",
            request,
            target,
            by=by.value,
            began=request.call.resumes,
            after=request.resume_after,
            version=version_of(target),
            word=word.by.value if word else OWN_RESPONSE if progress.began else FORWARDED,
            word_of=word.vm if word else "",
            word_age_ms=word.age_ms if word else 0,
        )


def version_of(target: Target) -> str | None:
    """Return the version of a server's software; ``None`` for a VM, which chooses the server."""
    match target:
        case ServerTarget(server_state):
            return server_state.server.version
        case PeerTarget():
            return None
