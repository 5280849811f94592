"""Record what has happened to one request so far."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hickorybeam.gateway.send_records import SendEnd

if TYPE_CHECKING:
    from hickorybeam.errors import ErrorKind
    from hickorybeam.gateway.event_splitter import EventSplitter
    from hickorybeam.gateway.forwarding.forwarded_runs import ForwardedRun
    from hickorybeam.gateway.send_records import SendRecord
    from hickorybeam.gateway.targets import AdmittedRequest, Target
    from hickorybeam.http1 import ResponseHead, ResponseWriter
    from hickorybeam.platform import ResponseInfo

__all__ = ("RequestProgress", "ResponseTiming")


@dataclass(slots=True)
class ResponseTiming:
    """When the chunks of a response came, on this VM's clock."""

    first_ms: int | None = None
    last_ms: int = 0
    longest_gap_ms: int = 0

    def record_chunk(self, now_ms: int) -> None:
        """Record that bytes of the response came."""
        if self.first_ms is None:
            self.first_ms = now_ms
        else:
            self.longest_gap_ms = max(self.longest_gap_ms, now_ms - self.last_ms)
        self.last_ms = now_ms


@dataclass(slots=True)
class RequestProgress:
    """What has happened to one request so far.

    ``records`` holds the sends, ``sends`` counts them, ``runs`` those that may have run, and
    ``outcome_open`` is set while the outcome of one is unknown.
    ``was_unheard``: nothing at all was heard from a server while it waited for its answer.
    ``runs_on``: the last send may run on at its target, which did not say that it ended.
    ``began``: bytes of a stream have been passed on. ``may_be_whole``: they end as a whole stream
    does, and the run that would show whether more follows has added nothing yet.
    ``blocked``: the kind of error with which another region's VM stated that it, or a part of its
    prompt, is blocked.
    ``rejected``: a server received the request and stated that it did not run it.
    ``tried`` holds the names of targets, ``refused_regions`` those of regions whose VM stated that
    it did not run the request.
    ``retry_after_ms`` is the shortest retry-after that such a VM gave.
    ``failed_response`` is a server's own failing response, kept in case that no better one comes.
    ``next_target`` is where the request goes next, chosen when it failed over from a silent target.
    ``own_region_only``: another VM forwarded it, so it is run in this region or not at all.
    ``forwarded_run`` is the run that the other VM asked for.
    ``placement_ms`` is the time spent on placement, most of it in the queue.
    ``expected_wait_ms`` is the wait that was expected at the last target.
    """

    response: ResponseWriter
    splitter: EventSplitter
    records: list[SendRecord] = field(default_factory=list)
    sends: int = 0
    runs: int = 0
    outcome_open: bool = False
    was_unheard: bool = False
    runs_on: bool = False
    began: bool = False
    may_be_whole: bool = False
    rejected: bool = False
    blocked: ErrorKind | None = None
    tried: set[str] = field(default_factory=set)
    refused_regions: set[str] = field(default_factory=set)
    failed_response: tuple[ResponseHead, ResponseInfo, bytes] | None = None
    retry_after_ms: int | None = None
    reason: str = ""
    next_target: Target | None = None
    own_region_only: bool = False
    forwarded_run: ForwardedRun | None = None
    placement_ms: int = 0
    expected_wait_ms: float = 0.0
    timing: ResponseTiming = field(default_factory=ResponseTiming)

    def record_refusal(self, region: str, retry_after_ms: int | None) -> None:
        """Record that a region did not run the request, and its retry-after if it gave one."""
        self.refused_regions.add(region)
        if retry_after_ms is not None:
            self.retry_after_ms = min(retry_after_ms, self.retry_after_ms or retry_after_ms)

    def may_run_again(self, request: AdmittedRequest) -> bool:
        """Return whether the request, which may have run, may be sent to another server."""
        if self.own_region_only or not request.route.repeatable or self.runs_on:
            return False
        return self.splitter.can_resume or not self.response.started

    @property
    def may_have_run(self) -> bool:
        """Whether the request has run or may have."""
        return self.runs > 0 or self.outcome_open

    @property
    def broke_off(self) -> bool:
        """Whether its last send broke off."""
        return bool(self.records) and self.records[-1].end is SendEnd.BROKEN

    @property
    def may_have_arrived(self) -> bool:
        """Whether a server has received the request or may have."""
        return self.rejected or self.may_have_run
