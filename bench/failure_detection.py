"""How long a fleet takes to notice a failure, at the settings' own pace.

Usage: python bench/failure_detection.py [ROUNDS]. In-process VMs over loopback, heartbeats
each 500 ms, silent after 2 s. Prints, in ms until the last VM concerned saw it: a crash (the
machine refuses connections), a VM that goes silent both ways, its return, a data centre cut
off from another, its return, a join, and a graceful leave.
"""

from __future__ import annotations

import logging
import statistics
import sys
from pathlib import Path

import anyio

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))
from hickorybeam.standins.relay import LinkState
from support import fleet as support
from support.fleet import until

VMS = 5
CENTRES = ("dakar-1", "thies-1", "saint-louis-1")
WITHIN_S = 40.0
SETTLE_S = 3.0


async def started() -> support.Fleet:
    """Return the VMs of the bench once they all see each other."""
    fleet = Fleet.current
    for number in range(VMS):
        for centre in CENTRES:
            await fleet.add(f"{centre}.{number}", centre)
    await until(fleet.agree, within_s=WITHIN_S)
    await anyio.sleep(SETTLE_S)
    return fleet


class Fleet:
    """The fleet of this run."""

    current: support.Fleet


def of(fleet, centre):
    return [member for name, member in fleet.members.items() if name.startswith(centre + ".")]


async def crash(took) -> None:
    fleet = await started()
    await fleet.kill("dakar-1.1")
    took("crash seen by all", await until(fleet.agree, within_s=WITHIN_S))
    await fleet.add("dakar-1.new", "dakar-1")
    took("join seen by all", await until(fleet.agree, within_s=WITHIN_S))
    stopping = fleet.members["dakar-1.new"]
    fleet.members.pop("dakar-1.new")
    stopping.kernel.stop()
    took("graceful leave seen by all", await until(fleet.agree, within_s=WITHIN_S))


async def silence(took) -> None:
    fleet = await started()
    alone = fleet.members["dakar-1.1"]
    rest = [member for member in fleet.members.values() if member is not alone]
    ids = {member.id for member in rest}
    await fleet.cut(rest, [alone], state=LinkState.SILENT)
    await fleet.cut([alone], rest, state=LinkState.SILENT)
    gone = await until(lambda: all(member.sees() == ids for member in rest), within_s=WITHIN_S)
    took("silent VM seen by all", gone)
    await fleet.heal()
    took("its return seen by all", await until(fleet.agree, within_s=WITHIN_S))


async def partition(took) -> None:
    fleet = await started()
    one, other = of(fleet, CENTRES[0]), of(fleet, CENTRES[1])
    apart = {member.id for member in one}
    await fleet.cut(one, other)
    await fleet.cut(other, one)
    seen = await until(
        lambda: not any(member.sees() & apart for member in other), within_s=WITHIN_S
    )
    took("data centre cut off, seen by all", seen)
    await fleet.heal()
    took("its return seen by all VMs", await until(fleet.agree, within_s=WITHIN_S))


async def main(rounds: int) -> None:
    logging.getLogger().setLevel(logging.CRITICAL)
    support.HEARTBEAT_MS, support.SILENT_MS = 500, 2_000
    found: dict[str, list[int]] = {}
    for _ in range(rounds):
        for scenario in (crash, silence, partition):
            async with support.fleet() as fleet:
                Fleet.current = fleet
                await scenario(lambda what, ms: found.setdefault(what, []).append(ms))
    print(f"{VMS} VMs in each of {len(CENTRES)} data centres, {rounds} rounds, ms:")
    print(f"{'what':36} {'least':>6} {'median':>7} {'most':>6}")
    for what, times in found.items():
        print(f"{what:36} {min(times):6} {statistics.median(times):7.0f} {max(times):6}")


if __name__ == "__main__":
    anyio.run(main, int(sys.argv[1]) if len(sys.argv) > 1 else 3)
