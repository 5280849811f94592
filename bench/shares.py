"""Shares: refusals inside the rate, and calls per VM against the number of accounts.

In-process budget services with a manual clock; peers 1 ms away within a data centre and 80 ms
between them, each way. Deterministic but for the machine's speed, which only sets how long
the script takes.

    .venv/bin/python -m bench.shares
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
from tests.steps.shares import fakes

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.settings import ShareSettings

if TYPE_CHECKING:
    from collections.abc import Callable

RATE = 1_000.0
BURST = 2_000.0
LOAD = 0.9
REQUEST = 30
SETTLE_MS = 30_000
RUN_MS = 30_000
STEP_MS = 20
DATA_CENTRES = ("a", "b", "c")
SIZES = (1, 5, 20, 80)


@dataclass
class Tally:
    """What one run came to."""

    sent: int = 0
    refused: int = 0
    over_wait: int = 0


def everywhere(rng: random.Random, at: int) -> str:
    """Traffic evenly at all VMs."""
    return f"{rng.choice(DATA_CENTRES)}{rng.randrange(3)}"


def one_vm(rng: random.Random, at: int) -> str:
    """All traffic at one VM."""
    return "a0"


def moving(rng: random.Random, at: int) -> str:
    """All traffic in one region, which changes every fifteen seconds."""
    return f"{DATA_CENTRES[at // 15_000 % 3]}{rng.randrange(3)}"


async def fleet_of(accounts: int) -> fakes.Fleet:
    """Return nine VMs' fleet with this many accounts, not yet entered."""
    names = [fakes.account(f"acct{number}", RATE, BURST) for number in range(accounts)]
    return fakes.Fleet(names, shares=ShareSettings(groups=16))


async def start(fleet: fakes.Fleet) -> None:
    """Start three VMs in each data centre and let the ledger come to rest."""
    for data_centre in DATA_CENTRES:
        for number in range(3):
            await fleet.start(f"{data_centre}{number}", data_centre)
    await fleet.run(SETTLE_MS)


async def drive(
    fleet: fakes.Fleet, place: Callable[[random.Random, int], str], load: float, *, only: str = ""
) -> Tally:
    """Send requests of one account at a part of its rate and count refusals."""
    rng = random.Random(7)
    tally = Tally()
    due = 0.0
    begun = fleet.clock.now()
    while due < RUN_MS:
        await fleet.clock.advance(max(0, int(begun + due) - fleet.clock.now()))
        name = place(rng, int(due))
        if not only or name[0] == only:
            tally.sent += 1
            fleet.tg.start_soon(ask, fleet, name, "acct0", tally)
        due += rng.expovariate(RATE * load / REQUEST) * 1000
    await fleet.run(1_000)
    return tally


async def ask(fleet: fakes.Fleet, name: str, account: str, tally: Tally) -> None:
    """Take the tokens of one request."""
    try:
        await fleet.nodes[name].budget.take(account, REQUEST)
    except GatewayError as exc:
        tally.refused += exc.kind in (ErrorKind.RATE_LIMITED, ErrorKind.NOT_READY)
    else:
        fleet.spent.append((fleet.clock.now(), name, account, REQUEST))


async def refusals() -> None:
    """Print refusals inside the rate for each pattern of traffic."""
    print("| traffic of one account, 30 s | of its rate | requests | refused | over the bound |")
    print("| --- | --- | --- | --- | --- |")
    cases = (
        ("evenly at nine VMs", everywhere, LOAD, ""),
        ("all at one VM", one_vm, LOAD, ""),
        ("moving between regions every 15 s", moving, LOAD, ""),
        ("evenly, one region cut off: seen there", everywhere, LOAD, "b"),
        ("evenly, one region cut off: seen elsewhere", everywhere, LOAD, "ac"),
        ("one region cut off with all traffic in it", lambda rng, at: "b0", LOAD, ""),
        ("ten times its rate, evenly", everywhere, 10.0, ""),
    )
    for label, place, load, only in cases:
        async with await fleet_of(1) as fleet:
            await start(fleet)
            if "cut off" in label:
                fleet.cut_off("b")
            chosen = only if len(only) == 1 else ""
            tally = await drive(fleet, place, load, only=chosen)
            excess = fakes.overspent([(at, each) for at, _, _, each in fleet.spent], RATE, BURST)
            row = (label, f"{load:.0%}", tally.sent, tally.refused, f"{excess:.0f}")
            print("| " + " | ".join(str(one) for one in row) + " |")


async def calls() -> None:
    """Print calls a second of one VM against the number of active accounts."""
    print("\n| accounts active | platform calls/s of a VM | writes/s | peer messages/s |")
    print("| --- | --- | --- | --- |")
    for size in SIZES:
        async with await fleet_of(size) as fleet:
            await start(fleet)
            before = counts(fleet)
            rng = random.Random(7)
            tally = Tally()
            seconds = 10
            for tick in range(seconds * 1000 // STEP_MS):
                await fleet.clock.advance(STEP_MS)
                for number in range(size):
                    # Each account at half its rate, at VMs of a region that moves.
                    if rng.random() < RATE * 0.5 / REQUEST * STEP_MS / 1000:
                        name = f"{DATA_CENTRES[(number + tick // 500) % 3]}{rng.randrange(3)}"
                        tally.sent += 1
                        fleet.tg.start_soon(ask, fleet, name, f"acct{number}", tally)
            after = counts(fleet)
            rates = [(new - old) / seconds / 9 for new, old in zip(after, before, strict=True)]
            row = (size, *(f"{rate:.2f}" for rate in rates))
            print("| " + " | ".join(str(one) for one in row) + " |")


def counts(fleet: fakes.Fleet) -> tuple[int, int, int]:
    """Return platform calls, writes among them, and peer messages of the whole fleet."""
    asked = sum(node.peers.asked for node in fleet.nodes.values())
    return fleet.store.calls, fleet.store.writes, asked


async def main() -> None:
    """Run both parts."""
    await refusals()
    await calls()


if __name__ == "__main__":
    anyio.run(main)
