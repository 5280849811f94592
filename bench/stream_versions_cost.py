"""What it costs to remember which version began a stream: bytes told, memory and processor time.

    python -m bench.stream_versions_cost

Prints what one VM adds to its reports at several sizes of the fleet (it reads as much in others'),
the memory of a table, and the time of each step.
"""

from __future__ import annotations

import time
import tracemalloc

import msgspec

from hickorybeam.gateway.fleet import MAX_TOLD_OF_STREAMS
from hickorybeam.policy.report_intervals import local_report_interval_ms, remote_report_interval_ms
from hickorybeam.policy.stream_versions import StreamVersions, stream_digest, version_key

# VMs, data centres, streams that begin at one VM in a second, and for how long they are kept.
FLEETS = ((9, 3, 5.0, 15.0), (85, 6, 5.6, 15.0), (390, 9, 7.7, 60.0))
KEYS = [version_key("guide-model", version) for version in ("v1", "v1.1")]
ENTRIES = 20_000


def told_bytes(streams: float) -> float:
    """Return the bytes that a report grows by for a number of streams, half of each version."""
    count = max(1, round(streams))
    table = StreamVersions()
    table.take_untold("near", 0)
    for number in range(count):
        key = KEYS[number % len(KEYS)]
        table.record(stream_digest(f"{number:016x}"), key, keep_ms=15_000, now_ms=0)
    size = len(msgspec.msgpack.encode(table.take_untold("near", 0))) - 1
    # A report with less than one stream on average mostly has none.
    return size * min(1.0, streams)


def bytes_per_s(vms: int, data_centres: int, streams_per_s: float) -> tuple[float, float]:
    """Return the bytes a VM sends in a second for streams, to its data centre and to others."""
    local = vms // data_centres - 1
    near_s = local_report_interval_ms(local) / 1_000
    far_s = remote_report_interval_ms(vms) / 1_000
    near = told_bytes(streams_per_s * near_s) / near_s * min(local, MAX_TOLD_OF_STREAMS)
    far = told_bytes(streams_per_s * far_s) / far_s * (data_centres - 1)
    return near, far


def main() -> None:
    """Print the tables."""
    print("| VMs | streams/s a VM | B/s to the own data centre | B/s to others | entries a VM |")
    print("|---|---|---|---|---|")
    for vms, data_centres, streams_per_s, keep_s in FLEETS:
        near, far = bytes_per_s(vms, data_centres, streams_per_s)
        copies = 1 + min(vms // data_centres - 1, MAX_TOLD_OF_STREAMS) + data_centres - 1
        entries = streams_per_s * keep_s * copies
        print(f"| {vms} | {streams_per_s} | {near:.0f} | {far:.0f} | {entries:.0f} |")
    names = [f"{number:016x}" for number in range(ENTRIES)]
    tracemalloc.start()
    fill(names)
    size = tracemalloc.get_traced_memory()[1] / ENTRIES
    tracemalloc.stop()
    began = time.perf_counter()
    table = fill(names)
    recorded = time.perf_counter()
    for name in names:
        table.find(stream_digest(name), 1_000)
    found = time.perf_counter()
    print(
        f"memory at most {size:.0f} B an entry; "
        f"to record and tell a stream {(recorded - began) / ENTRIES * 1e6:.1f} us, "
        f"to find one {(found - recorded) / ENTRIES * 1e6:.1f} us"
    )


def fill(names: list[str]) -> StreamVersions:
    """Return a table that has recorded and told streams, 20 a report."""
    table = StreamVersions()
    table.take_untold("near", 0)
    for number, name in enumerate(names):
        table.record(stream_digest(name), KEYS[number % 2], keep_ms=15_000, now_ms=number // 20)
        if number % 20 == 0:
            table.take_untold("near", number // 20)
    return table


if __name__ == "__main__":
    main()
