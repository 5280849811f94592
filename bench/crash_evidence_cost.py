"""What it costs to know what crashes servers: bytes told, memory, processor time.

    python -m bench.crash_evidence_cost

Prints what a crash, and a blocked part or request, cost in datagrams at several sizes of the fleet,
the memory of full tables, and the time of each step.
"""

from __future__ import annotations

import time
import tracemalloc
from typing import TYPE_CHECKING

import msgspec

from hickorybeam.gateway.crashes.notice import CrashNotice
from hickorybeam.gateway.fleet import WHOLE_REPORT_EVERY
from hickorybeam.model.routing import PromptPart, RelayCall
from hickorybeam.policy.crash_evidence import MAX_PARTS, CrashEvidence
from hickorybeam.policy.crash_messages import (
    CrashedRequest,
    crash_digest,
    part_digest,
    request_digest,
)
from hickorybeam.policy.crash_reports import MAX_REPORTED, TIMES_TOLD
from hickorybeam.policy.recently_sound import MAX_SOUND
from hickorybeam.policy.report_intervals import local_report_interval_ms, remote_report_interval_ms
from hickorybeam.policy.request_key import request_key, request_mark, request_outline

if TYPE_CHECKING:
    from collections.abc import Callable

# VMs and data centres.
FLEETS = ((9, 3), (85, 6), (390, 9))
# Suspected parts of one crash, as one VM sees them.
SUSPECTS = 4
# Requests open at a server that crashes, as one VM sees them: one of many VMs, and the only one.
OPEN_REQUESTS = (1, 16)
BODY_SIZES = (2_000, 1_000_000)
ROUNDS = 20_000


def crash(evidence: CrashEvidence, number: int, parts: list[bytes], at_ms: int) -> None:
    """Record a crash under some parts."""
    request = request_digest(f"r{number}")
    server = crash_digest(f"i-{number:010x}", number)
    evidence.record_crash(server, [(part, request) for part in parts], at_ms)


def keys(count: int) -> list[bytes]:
    """Return the keys of some requests."""
    return [request_key(bytes(8), b"%d" % number) for number in range(count)]


def call(size: int) -> RelayCall:
    """Return a prompt with a body of some bytes."""
    return RelayCall(
        request_id="9c41d07be2a35f68",
        method="POST",
        target=b"/chat/1",
        host="shop.example",
        path="/chat/1",
        headers=(),
        body=bytes(size),
        key=None,
        arrived_ms=0,
        deadline_ms=5_000,
        model="m",
        prompt_tokens=1_460,
        output_tokens=80,
        parts=tuple(PromptPart(f"{number:08x}", 400) for number in range(4)),
    )


def parts(count: int, first: int = 0) -> list[bytes]:
    """Return digests of some parts."""
    return [part_digest("model", f"{number:08x}") for number in range(first, first + count)]


def notice_bytes(requests: int = 0) -> int:
    """Return the size of the notice of one crash under prompts, or under some requests."""
    evidence = CrashEvidence()
    if requests:
        opened = [CrashedRequest(key, 40) for key in keys(requests)]
        evidence.record_crash(crash_digest("i-00", 0), (), 0, requests=opened)
    else:
        crash(evidence, 1, parts(SUSPECTS), 0)
    notice = CrashNotice("frontend-dakar-1", evidence.reports.take_untold(50))
    return len(msgspec.msgpack.encode(notice))


def blocked_evidence(count: int) -> CrashEvidence:
    """Return what a VM knows that has blocked some parts."""
    evidence = CrashEvidence()
    for number, part in enumerate(parts(count)):
        for times in range(3):
            crash(evidence, 10 * number + times, [part], 1_000 * times)
    return evidence


def print_bytes() -> None:
    """Print what VMs send."""
    notice = notice_bytes()
    of_requests = [notice_bytes(count) for count in OPEN_REQUESTS]
    reported = {
        count: len(msgspec.msgpack.encode(blocked_evidence(count).reports.to_report(5_000))) - 1
        for count in (1, MAX_REPORTED)
    }
    print(f"a notice of a crash under {SUSPECTS} parts: {notice} B, told {TIMES_TOLD} times")
    print(f"under {OPEN_REQUESTS} requests: {of_requests} B")
    print(
        "| VMs | B a crash, one VM | under 1 request | under 16 | B/s for 1 blocked part"
        " | B/s for 2 and more |"
    )
    print("|---|---|---|---|---|---|")
    for vms, centres in FLEETS:
        local = vms // centres - 1
        told = TIMES_TOLD * (local + centres - 1)
        per_crash = " | ".join(str(size * told) for size in (notice, *of_requests))
        near = local / (WHOLE_REPORT_EVERY * local_report_interval_ms(local))
        far = (centres - 1) / remote_report_interval_ms(vms)
        row = [f"{1_000 * size * (near + far):.0f}" for size in reported.values()]
        print(f"| {vms} | {per_crash} | {' | '.join(row)} |")


def print_memory() -> None:
    """Print the memory of full tables."""
    tracemalloc.start()
    evidence = CrashEvidence()
    for number in range(MAX_PARTS):
        for times in range(8):
            crash(evidence, 10 * number + times, parts(1, number), 10 * number + times)
    suspects = tracemalloc.get_traced_memory()[0]
    evidence.record_sound(parts(MAX_SOUND, MAX_PARTS), 1_000_000)
    full = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    print(
        f"{MAX_PARTS} parts of 8 crashes: {suspects / 1e6:.2f} MB, all tables {full / 1e6:.2f} MB"
    )


def print_times() -> None:
    """Print the time of each step."""
    evidence, prompt = blocked_evidence(2), parts(2, 100)
    told = evidence.reports.to_report(5_000)
    idle = CrashEvidence()
    call_of = {size: call(size) for size in BODY_SIZES}
    steps: dict[str, Callable[[], object]] = {
        "judge a prompt, nothing blocked": lambda: idle.judge_prompt(prompt),
        "judge a prompt, two parts blocked": lambda: evidence.judge_prompt(prompt),
        "clear a prompt's parts": lambda: evidence.record_sound(prompt, 6_000),
        "mark of an answered prompt": lambda: request_mark(call_of[BODY_SIZES[0]], "a"),
        "outline of a prompt": lambda: request_outline(call_of[BODY_SIZES[0]], "a"),
        "key of a body of 2 kB": lambda: request_key(bytes(8), call_of[BODY_SIZES[0]].body),
        "key of a body of 1 MB": lambda: request_key(bytes(8), call_of[BODY_SIZES[1]].body),
        "merge a report that tells nothing new": lambda: evidence.merge(told, 6_000),
    }
    for name, step in steps.items():
        begun = time.perf_counter()
        rounds = ROUNDS // 100 if "1 MB" in name else ROUNDS
        for _ in range(rounds):
            step()
        print(f"{name}: {(time.perf_counter() - begun) / rounds * 1e6:.2f} us")


def main() -> None:
    """Print the tables."""
    print_bytes()
    print_memory()
    print_times()


if __name__ == "__main__":
    main()
