"""Headers of requests that a VM forwards to a VM of another region, and of the responses."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from hickorybeam.gateway.targets import AdmittedRequest, foreign_route
from hickorybeam.http1 import find_header, header_bytes, header_text, parse_count
from hickorybeam.platform import REQUEST_ID, decode_call
from hickorybeam.policy.region_path import REGION_ROUND_TRIP_MS
from hickorybeam.policy.stream_versions import UNKNOWN_VERSION

if TYPE_CHECKING:
    from hickorybeam.http1 import IncomingRequest, RawHeaders

__all__ = (
    "HOP_HEADERS",
    "HOP_NOT_RUN",
    "HOP_RETRY_AFTER_MS",
    "HOP_UNFRAMED",
    "HOP_VERSION",
    "MAX_HOP_HEADER_BYTES",
    "NO_SERVER_ASKED",
    "PART_BLOCKED",
    "REJECTED",
    "REQUEST_BLOCKED",
    "decode_forwarded_request",
    "forwarded_headers",
    "hop_run",
    "hop_version",
    "without_hop_headers",
)

# Request headers between VMs. The sending VM sets them; callers can't reach the port that reads
# them.
HOP_SERVICE = b"hop-service"
HOP_ACCOUNT = b"hop-account"
HOP_TIME_LEFT_MS = b"hop-left-ms"
HOP_URGENCY = b"hop-urgency"
HOP_RESUME_AFTER = b"hop-resume-after"
# The key of the version that began the request's stream; in a response, that of the server's.
HOP_VERSION = b"hop-version"
# Set if the request is a trial of a blocked part of its prompt.
HOP_TRIAL = b"hop-trial"
# The request's latency objective, and how much of it is used up: the time since it arrived, and the
# way to the other region and back. Without them, the other region would let a request wait for
# half of a usual objective after most of its own has passed.
HOP_TARGET_MS = b"hop-target-ms"
HOP_ELAPSED_MS = b"hop-elapsed-ms"
# The name that the sending VM gave the run, by which it may cancel it.
HOP_RUN = b"hop-run"
# Response header between VMs: the request was not run, and the response comes from no backend
# server. Its value tells whether a server rejected the request, none was asked, or none may be, in
# any region, because a part of the prompt crashes servers, or the request itself.
HOP_NOT_RUN = b"hop-not-run"
REJECTED, NO_SERVER_ASKED = b"rejected", b"not-asked"
PART_BLOCKED, REQUEST_BLOCKED = b"part-blocked", b"request-blocked"
# Sent along with HOP_NOT_RUN: in how many ms the region expects to have a free slot.
HOP_RETRY_AFTER_MS = b"hop-come-back-ms"
# Response header between VMs: the server's response has neither length nor chunks.
HOP_UNFRAMED = b"hop-unframed"
HOP_HEADERS = frozenset(
    {
        HOP_SERVICE,
        HOP_ACCOUNT,
        HOP_TIME_LEFT_MS,
        HOP_URGENCY,
        HOP_RESUME_AFTER,
        HOP_VERSION,
        HOP_TRIAL,
        HOP_TARGET_MS,
        HOP_ELAPSED_MS,
        HOP_RUN,
    }
)
HOP_RESPONSE_HEADERS = frozenset({HOP_VERSION, HOP_NOT_RUN, HOP_RETRY_AFTER_MS, HOP_UNFRAMED})
# By how much these headers make a caller's head longer: some numbers, and the names of a service
# and an account.
MAX_HOP_HEADER_BYTES = 4_096
DEFAULT_URGENCY = 5
DEFAULT_TARGET_MS = 1_000


def forwarded_headers(request: AdmittedRequest, now_ms: int, run: str) -> RawHeaders:
    """Return the headers of a request that a VM forwards: the caller's, and its own.

    The caller's may have the names of the VM's. Passed on, they would let it run for another
    account, as the first header of a name counts.

    :param run: the name of the run that the other VM is asked for.
    """
    sent = tuple(pair for pair in request.call.headers if pair[0] not in HOP_HEADERS)
    # First, so that a refusal of the head as too long names the request.
    sent = tuple(sorted(sent, key=lambda pair: pair[0] != REQUEST_ID))
    return (*sent, (HOP_RUN, header_bytes(run)), *_hop_headers(request, now_ms))


def _hop_headers(request: AdmittedRequest, now_ms: int) -> RawHeaders:
    left_ms = request.deadline_ms - now_ms
    elapsed_ms = now_ms - request.call.arrived_ms
    headers = [
        (HOP_SERVICE, header_bytes(request.service)),
        (HOP_TIME_LEFT_MS, b"%d" % max(1, left_ms)),
        (HOP_URGENCY, b"%d" % request.urgency),
        (HOP_TARGET_MS, b"%d" % request.route.target_ms),
        (HOP_ELAPSED_MS, b"%d" % (max(0, elapsed_ms) + REGION_ROUND_TRIP_MS)),
    ]
    if request.account is not None:
        headers.append((HOP_ACCOUNT, header_bytes(request.account)))
    if request.resume_after is not None:
        headers.append((HOP_RESUME_AFTER, request.resume_after.encode("latin-1")))
    if request.version_key is not None:
        headers.append((HOP_VERSION, request.version_key.hex().encode()))
    if request.trial:
        headers.append((HOP_TRIAL, b"1"))
    return tuple(headers)


def hop_version(headers: RawHeaders) -> bytes | None:
    """Return the version's key in the headers of another VM, ``None`` without one."""
    value = find_header(headers, HOP_VERSION)
    if value is None:
        return None
    try:
        return bytes.fromhex(value.decode("ascii"))
    except ValueError:
        return UNKNOWN_VERSION


def hop_run(headers: RawHeaders) -> str:
    """Return the name of a forwarded request's run, empty from VMs that give it none."""
    return header_text(find_header(headers, HOP_RUN) or b"")


def without_hop_headers(headers: RawHeaders) -> RawHeaders:
    """Return a response's headers without those that only VMs tell each other.

    A backend server's response may have one. Passed on to the VM that forwarded the request, it
    would be believed: that a request has not run, for example, which would be sent again.
    """
    return tuple(pair for pair in headers if pair[0] not in HOP_RESPONSE_HEADERS)


def decode_forwarded_request(req: IncomingRequest) -> AdmittedRequest | None:
    """Decode a request forwarded by another VM, ``None`` if it isn't one."""
    service = find_header(req.headers, HOP_SERVICE)
    time_left_ms = parse_count(find_header(req.headers, HOP_TIME_LEFT_MS))
    if service is None or time_left_ms is None:
        return None
    call = decode_call(req)
    account, resume_after = (
        find_header(req.headers, HOP_ACCOUNT),
        find_header(req.headers, HOP_RESUME_AFTER),
    )
    elapsed_ms = decode_int(find_header(req.headers, HOP_ELAPSED_MS), 0)
    target_ms = decode_int(find_header(req.headers, HOP_TARGET_MS), DEFAULT_TARGET_MS)
    return AdmittedRequest(
        call=replace(call, arrived_ms=call.arrived_ms - elapsed_ms),
        route=foreign_route("hop", target_ms=target_ms),
        service=header_text(service),
        account=None if account is None else header_text(account),
        urgency=decode_int(find_header(req.headers, HOP_URGENCY), DEFAULT_URGENCY),
        deadline_ms=req.arrived_ms + time_left_ms,
        resume_after=None if resume_after is None else resume_after.decode("latin-1"),
        version_key=hop_version(req.headers),
        trial=find_header(req.headers, HOP_TRIAL) is not None,
    )


def decode_int(value: bytes | None, default: int) -> int:
    """Return the number in a header set by another VM, a default if it is missing or invalid."""
    number = parse_count(value)
    return default if number is None else number
