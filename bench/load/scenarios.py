"""The load patterns: who sends what, what breaks, and over which time callers are judged."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from functools import partial
from typing import TYPE_CHECKING

from bench.load.world import Request, Source, World, percentile

if TYPE_CHECKING:
    from collections.abc import Callable

ENGINES = 6
# Requests a second that six engines complete at full batches, measured by the row "peak".
CAPACITY = 59.0
SHARES = {"large-1": 0.35, "large-2": 0.30, "middle": 0.20, "small": 0.10, "family": 0.05}
SETTLED_MS = 5_000.0
END_MS = 25_000.0
RUN_OUT_MS = 16_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """One pattern.

    :param load: offered load in region ``a`` relative to its capacity.
    :param faults: called once with the world before the run.
    :param judged: start and end of the arrivals that are judged, in ms.
    :param ignored: accounts that are over their rate and not judged.
    """

    name: str
    load: float = 0.6
    regions: dict[str, int] = field(default_factory=lambda: {"a": ENGINES})
    load_elsewhere: float = 0.0
    extra: tuple[Source, ...] = ()
    faults: Callable[[World], None] | None = None
    judged: tuple[float, float] = (SETTLED_MS, END_MS)
    ignored: tuple[str, ...] = ()
    one_way: float = 80.0
    report_lag: float = 300.0
    hot_prefix: float = 0.0
    costs: dict[str, float] | None = None
    end: float = END_MS


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """What the callers of one run received; shares are of the judged requests."""

    ok: float
    worst: float
    p50: float
    p99: float
    refused: float
    refused_idle: float
    late: float
    failed: float
    elsewhere: float
    cost: float
    goodput: float
    hits: float
    swings: int
    share_of: dict[str, float]


def sources(scenario: Scenario) -> list[Source]:
    """Return every source of a scenario."""
    found = []
    for region in scenario.regions:
        load = scenario.load if region == "a" else scenario.load_elsewhere
        for account, share in SHARES.items():
            if load > 0:
                rate = CAPACITY * load * share
                found.append(
                    Source(
                        account=account, rate=rate, region=region, hot_prefix=scenario.hot_prefix
                    )
                )
    return [*found, *scenario.extra]


def run(scenario: Scenario, policy: str, seeds: tuple[int, ...]) -> Result:
    """Run one pattern under one policy and judge the callers of all seeds together."""
    return judge([play(scenario, policy, seed) for seed in seeds], scenario)


def play(scenario: Scenario, policy: str, seed: int) -> World:
    """Run one pattern under one policy and one seed."""
    world = World(
        policy=policy,
        seed=seed,
        regions=scenario.regions,
        one_way=scenario.one_way,
        report_lag=scenario.report_lag,
        costs=scenario.costs,
    )
    for source in sources(scenario):
        world.add(source, scenario.end)
    if scenario.faults is not None:
        scenario.faults(world)
    world.run(scenario.end + RUN_OUT_MS)
    return world


def judge(worlds: list[World], scenario: Scenario) -> Result:
    """Return what the judged callers received."""
    begin, end = scenario.judged[0], min(scenario.judged[1], scenario.end)
    requests = [request for world in worlds for request in world.requests]
    costs = worlds[0].costs
    engines = [e for world in worlds for found in world.engines.values() for e in found]
    all_judged = [r for r in requests if begin <= r.arrived < end]
    judged = [
        r for r in all_judged if r.source.account not in scenario.ignored and not r.source.long
    ]
    total = max(1, len(judged))
    ok = [r for r in judged if r.outcome == "ok"]
    times = [r.first - r.arrived for r in ok]
    by_account: dict[str, list[Request]] = {}
    for request in judged:
        by_account.setdefault(request.source.account, []).append(request)
    share_of = {
        name: sum(r.outcome == "ok" for r in found) / len(found)
        for name, found in by_account.items()
    }
    done = [r for r in requests if r.outcome == "ok" and begin <= r.end < end]
    whole = [r for r in all_judged if r.outcome == "ok"]
    tokens = sum(r.prompt + r.output for r in whole)
    paid = sum((r.prompt + r.output) * costs[r.region] for r in whole)
    lookups = sum(engine.lookups for engine in engines)
    hits = sum(engine.hits for engine in engines)
    refused = [r for r in judged if r.outcome == "refused"]
    return Result(
        ok=len(ok) / total,
        worst=min(share_of.values(), default=0.0),
        p50=percentile(times, 0.5),
        p99=percentile(times, 0.99),
        refused=len(refused) / total,
        refused_idle=sum(r.idle_slots > IDLE_SLOTS for r in refused) / total,
        late=sum(r.outcome == "late" for r in judged) / total,
        failed=sum(r.outcome == "failed" for r in judged) / total,
        elsewhere=sum(r.region != r.source.region for r in ok) / max(1, len(ok)),
        cost=paid / tokens if tokens else 0.0,
        goodput=len(done) / (end - begin) * 1000 / len(worlds),
        hits=hits / lookups if lookups else 0.0,
        swings=max(swings(world, end) for world in worlds),
        share_of=share_of,
    )


# Capacity counts as free when more than a tenth of one region's slots are.
IDLE_SLOTS = 10
SWING = 0.15


def swings(world: World, end: float) -> int:
    """Return how often the share sent elsewhere by region ``a`` turned round by over 15%."""
    bins: dict[int, list[bool]] = {}
    for request in world.requests:
        if request.source.region == "a" and request.outcome == "ok" and request.arrived < end:
            away = request.region != request.source.region
            bins.setdefault(int(request.arrived // 1000), []).append(away)
    series = [sum(bins[key]) / len(bins[key]) for key in sorted(bins)]
    turns, direction, extreme = 0, 0, series[0] if series else 0.0
    for value in series:
        if direction >= 0 and value <= extreme - SWING:
            turns, direction, extreme = turns + 1, -1, value
        elif direction <= 0 and value >= extreme + SWING:
            turns, direction, extreme = turns + 1, 1, value
        elif direction >= 0:
            extreme = max(extreme, value)
        else:
            extreme = min(extreme, value)
    return turns


def slow_engine(world: World, *, at: float, factor: float) -> None:
    """Make one engine slow from a time on."""
    world.at(at, partial(setattr, world.engines["a"][0], "slowdown", factor))


def fast_failures(world: World, *, at: float) -> None:
    """Make one engine fail every request at once."""
    world.at(at, partial(setattr, world.engines["a"][0], "fails_fast", True))


def lose_region(world: World, *, at: float, back: float) -> None:
    """Kill every engine of region ``a`` for a while; they return with empty caches."""
    for engine in world.engines["a"]:
        world.at(at, partial(world.kill, engine))
        world.at(back, partial(setattr, engine, "dead", False))


def lose_engine(world: World, *, at: float) -> None:
    """Kill one engine that no ticket removes, as with the platform out."""
    world.at(at, partial(world.kill, world.engines["a"][0]))


def hot(load: float, **more: object) -> Source:
    """Return a source of one account beyond the others."""
    return replace(Source(account="hot", rate=CAPACITY * load), **more)


LONG = Source(
    account="reports", rate=CAPACITY * 0.03, prompt=400, output=900, most=2048, long=True,
    deadline=120_000.0,
)  # fmt: skip
TWO = {"a": ENGINES, "b": ENGINES}

SCENARIOS = (
    Scenario(name="healthy"),
    Scenario(name="peak", load=1.1),
    Scenario(name="burst 4x for 2 s", extra=(hot(3.4, account="large-1", begin=10e3, end=12e3),)),
    Scenario(name="hot account 10x", extra=(hot(10.0),), ignored=("hot",)),
    Scenario(name="hot key at one VM", extra=(hot(3.0, vm=0),), ignored=("hot",)),
    Scenario(name="hot prefix 70%", hot_prefix=0.7),
    Scenario(
        name="slow engine 10x",
        faults=partial(slow_engine, at=6e3, factor=10.0),
        judged=(8e3, END_MS),
    ),
    Scenario(name="engine fails fast", faults=partial(fast_failures, at=6e3), judged=(6e3, END_MS)),
    Scenario(name="long among short", load=0.45, extra=(LONG,)),
    Scenario(name="short without long", load=0.45),
    Scenario(name="overload 2x", load=2.0),
    Scenario(name="overload 10x", load=10.0),
    Scenario(
        name="region lost, returned",
        regions=TWO,
        load_elsewhere=0.3,
        faults=partial(lose_region, at=8e3, back=15e3),
        judged=(8e3, END_MS),
    ),
    Scenario(name="1.5x here, room there", load=1.5, regions=TWO, load_elsewhere=0.2),
    Scenario(
        name="same, link slow 500 ms", load=1.5, regions=TWO, load_elsewhere=0.2, one_way=500.0
    ),
    Scenario(
        name="same, there 3x the price", load=1.5, regions=TWO, load_elsewhere=0.2,
        costs={"a": 1.0, "b": 3.0},
    ),
    Scenario(name="10x capacity there", load=0.5, regions={"a": 1, "b": 10}, load_elsewhere=0.5),
    Scenario(name="reports 3 s late", report_lag=3_000.0, load=0.8),
    Scenario(name="platform out, engine dies", faults=partial(lose_engine, at=6e3)),
)  # fmt: skip
