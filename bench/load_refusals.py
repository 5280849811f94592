"""Refusals a second of processor time, with a full queue: the cost of saying no.

Usage: ``python -m bench.load_refusals``. One row for each size of region and of accounts.
"""

from __future__ import annotations

import random
import time

from hickorybeam.model import BackendKind, BackendServer
from hickorybeam.policy.job import Job, Refuse
from hickorybeam.policy.profile import CHEAP
from hickorybeam.policy.scheduler import Scheduler

SIZES = ((6, 5), (16, 100), (70, 850))
CALLS = 5_000
NOW_MS = 3_000


def main() -> None:
    print(f"{'engines':>8} {'accounts':>9} {'refused':>8} {'a second':>9}")
    for engines, accounts in SIZES:
        scheduler = full_scheduler(engines, accounts)
        jobs = [make_job(10**6 + i, accounts, NOW_MS) for i in range(CALLS)]
        begun = time.process_time()
        refused = sum(isinstance(scheduler.early_refusal(job, NOW_MS), Refuse) for job in jobs)
        spent = time.process_time() - begun
        print(f"{engines:8d} {accounts:9d} {refused:8d} {CALLS / spent:9.0f}")


def full_scheduler(engines: int, accounts: int) -> Scheduler:
    scheduler = Scheduler(region="a", profile=CHEAP, memory=10**9, rng=random.Random(1))
    specs = [
        BackendServer(
            name=f"e{number}",
            kind=BackendKind.ENGINE,
            region="a",
            data_centre="a",
            host="",
            port=0,
            serves=("m",),
        )
        for number in range(engines)
    ]
    scheduler.configure(specs, sharing=1, costs={"a": 1.0})
    number = 0
    for now in range(1_000, NOW_MS, 100):
        for _ in range(engines * 60):
            number += 1
            scheduler.offer(make_job(number, accounts, now), now)
        scheduler.tick(now)
    return scheduler


def make_job(number: int, accounts: int, now: int) -> Job:
    return Job(
        id=number,
        account=f"x{number % accounts}",
        served="m",
        cost=400,
        arrived_ms=now,
        deadline_ms=now + 60_000,
        regions=frozenset({"a"}),
    )


if __name__ == "__main__":
    main()
