"""Every load pattern under both profiles and both baselines, as one table.

Usage: ``python -m bench.load_policy [--seeds 1,2,3,4,5] [--only TEXT] [--policies cheap,fast]``.
Simulated time and fixed seeds: the same command gives the same table.
"""

from __future__ import annotations

import argparse
from concurrent.futures import ProcessPoolExecutor

from bench.load.scenarios import CAPACITY, SCENARIOS, Result, Scenario, run

POLICIES = ("cheap", "fast", "round-robin", "least-requests")
# Half of the cores would be six; others use the machine too.
WORKERS = 4
HEADER = (
    f"{'pattern':26} {'policy':14} {'ok%':>6} {'worst%':>6} {'p50':>6} {'p99':>6} {'ref%':>6} "
    f"{'idle%':>6} {'late%':>6} {'fail%':>6} {'away%':>6} {'cost':>5} {'good/s':>6} "
    f"{'hit%':>5} {'turns':>5}"
)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1,2,3,4,5")
    parser.add_argument("--only", default="")
    parser.add_argument("--policies", default=",".join(POLICIES))
    args = parser.parse_args()
    seeds = tuple(int(seed) for seed in args.seeds.split(","))
    policies = tuple(args.policies.split(","))
    wanted = [scenario for scenario in SCENARIOS if args.only in scenario.name]
    pairs = [(scenario, policy) for scenario in wanted for policy in policies]
    print(HEADER)
    found: dict[tuple[str, str], Result] = {}
    with ProcessPoolExecutor(WORKERS) as pool:
        futures = [pool.submit(run_named, s.name, policy, seeds) for s, policy in pairs]
        for (scenario, policy), future in zip(pairs, futures, strict=True):
            found[scenario.name, policy] = result = future.result()
            print(row(scenario, policy, result), flush=True)
    if not args.only:
        aims(found, policies)


def run_named(name: str, policy: str, seeds: tuple[int, ...]) -> Result:
    return run(next(s for s in SCENARIOS if s.name == name), policy, seeds)


def row(scenario: Scenario, policy: str, r: Result) -> str:
    return (
        f"{scenario.name:26} {policy:14} {r.ok:6.1%} {r.worst:6.1%} {r.p50:6.0f} {r.p99:6.0f} "
        f"{r.refused:6.1%} {r.refused_idle:6.1%} {r.late:6.1%} {r.failed:6.1%} "
        f"{r.elsewhere:6.1%} {r.cost:5.2f} {r.goodput:6.1f} {r.hits:5.0%} {r.swings:5d}"
    ).replace("%", " ")


def aims(found: dict[tuple[str, str], Result], policies: tuple[str, ...]) -> None:
    """Print the aims of issue 5 as ratios within this run."""
    print(f"\naims (capacity {CAPACITY:.0f} requests a second)")
    print(
        f"{'policy':14} {'worst, hot 10x >=.95':>21} {'p99 long <=1.5':>15} "
        f"{'goodput 10x >=.9':>17} {'p99 slow <=1.5':>15} {'refused idle =0':>16} "
        f"{'turns <=3':>10}"
    )
    for policy in policies:
        healthy = found["healthy", policy]
        hot = found["hot account 10x", policy]
        worst = min(
            hot.share_of[name] / healthy.share_of[name]
            for name in healthy.share_of
            if healthy.share_of[name]
        )
        long = found["long among short", policy].p99 / found["short without long", policy].p99
        goodput = found["overload 10x", policy].goodput / found["peak", policy].goodput
        slow = found["slow engine 10x", policy].p99 / healthy.p99
        idle = max(result.refused_idle for (_, name), result in found.items() if name == policy)
        turns = found["region lost, returned", policy].swings
        print(
            f"{policy:14} {worst:21.3f} {long:15.2f} {goodput:17.3f} {slow:15.2f} "
            f"{idle:16.4f} {turns:10d}"
        )


if __name__ == "__main__":
    main()
