"""Run a soak: ``python -m bench.soak --seed 1 --seconds 180``; exits 1 on a violation.

Nothing is judged while it runs: the verdicts come from the log alone, after a calm minute
at the end in which every VM must come back.
"""

from __future__ import annotations

import json
import sys
from collections import Counter
from pathlib import Path
from typing import Any

import anyio
import fire
import msgspec
from bench.soak import checks, fleet, log
from bench.soak.faults import Faults
from bench.soak.traffic import OPERATOR, Traffic

from hickorybeam.demo import NO_ANSWER, Caller, Deployment

CALM_MS = 15_000


def main(
    seed: int = 1,
    seconds: int = 180,
    deployment: str = "tour-de-terre",
    out: str = "out/soak",
    faults: bool = True,
    only: str = "",
) -> None:
    """Run one soak and print its verdicts.

    :param only: the one kind of fault to do, such as ``replace``.
    """
    folder = Path(out) / f"{deployment}-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    for old in folder.glob("*.log"):
        old.unlink()
    plan = Deployment.load(deployment)
    path = folder / "soak.jsonl"
    seen = anyio.run(_soak, plan, folder, path, seed, seconds * 1000, faults, only)
    records = log.read(path)
    regions = {cfg.vm.name: cfg.vm.region for cfg in plan.vms}
    verdicts = checks.check(records, plan.ticket, seen, regions)
    print(f"soak {deployment} seed {seed}, {seconds} s, {len(records)} records")
    for kind in ("chat", "book", "ticket"):
        codes = Counter(r["code"] or "ok" for r in records if r["kind"] == kind)
        print(f"  {kind}: {dict(codes.most_common())}")
    print(f"  faults: {dict(Counter(r['name'] for r in records if r['kind'] == 'fault'))}")
    for verdict in verdicts:
        mark = "VIOLATED" if verdict.violations else "held"
        print(f"{mark:9} {verdict.promise} ({verdict.looked_at} looked at)")
        for text in verdict.violations[:5]:
            print(f"          {text}")
    sys.exit(1 if any(verdict.violations for verdict in verdicts) else 0)


async def _soak(
    plan: Deployment, folder: Path, path: Path, seed: int, until_ms: float, faults: bool, only: str
) -> dict[str, Any]:
    async with fleet.start(plan, folder) as running:
        await _first_ticket(running)
        journal = log.Log(path)
        async with anyio.create_task_group() as tg:
            tg.start_soon(Traffic(running, journal, seed=seed).run, until_ms)
            if faults:
                tg.start_soon(
                    Faults(running, journal, seed=seed, only=only).run, until_ms - CALM_MS
                )
        journal.close()
        return _seen_by_backends(running)


async def _first_ticket(running: fleet.SoakFleet) -> None:
    operator = Caller(OPERATOR)
    body = msgspec.to_builtins(running.deployment.ticket)
    url = running.url(next(iter(running.processes)))
    with anyio.fail_after(60):
        for vm in running.processes:
            await _until(operator, running.url(vm), 0)
        reply = await operator.call("POST", f"{url}/v1/tickets", body)
        if reply.status != 200:
            raise RuntimeError(reply.body.decode())
        for vm in running.processes:
            await _until(operator, running.url(vm), reply.json()["position"])


async def _until(operator: Caller, url: str, position: int) -> None:
    while True:
        try:
            reply = await operator.call("GET", f"{url}/v1/state")
            if reply.status == 200 and reply.json()["position"] >= position:
                return
        except (OSError, *NO_ANSWER):
            pass
        await anyio.sleep(0.1)


def _seen_by_backends(running: fleet.SoakFleet) -> dict[str, Any]:
    regions = {backend.name: backend.region for backend in running.deployment.ticket.backends}
    seen: dict[str, Any] = {}
    for name, server in running.backends.plains.items():
        bookings = list(server.app.bookings.values())
        seen[name] = {
            "region": regions[name],
            "bookings": bookings,
            "accounts": [booking["account"] for booking in bookings],
            "headers": sorted({key for headers in server.app.headers for key in headers}),
        }
    for name, engine in running.backends.engines.items():
        seen[name] = {
            "region": regions[name],
            "bookings": [],
            "accounts": [_account_in(prompt) for prompt in engine.app.seen.prompts],
            "headers": sorted({key for headers in engine.app.seen.headers for key in headers}),
        }
    return seen


def _account_in(prompt: str) -> str:
    content = json.loads(prompt)[-1]["content"]
    return str(content.split()[0].removeprefix("account="))


if __name__ == "__main__":
    fire.Fire(main)
