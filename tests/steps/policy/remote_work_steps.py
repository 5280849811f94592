from __future__ import annotations

import random
from dataclasses import dataclass, field

from behave import given, then, when

from hickorybeam.policy.region_path import REGION_ROUND_TRIP_MS
from hickorybeam.policy.remote_work import RemoteWork

SERVICE, THIRD = "model", "third"
SPILL_MARGIN_MS = 150
SEEDS = range(5)


@dataclass
class Region:
    """Servers of a region, each of which prefills one prompt after the other."""

    servers: int
    free_at: list[float] = field(init=False)
    asked: int = 0
    on_time: int = 0

    def __post_init__(self):
        self.free_at = [0.0] * self.servers

    def wait_ms(self, now):
        return max(0.0, min(self.free_at) - now)

    def run(self, now, work_ms):
        """Return the time from now to the first event, at the server that is free first."""
        server = self.free_at.index(min(self.free_at))
        self.free_at[server] = max(now, self.free_at[server]) + work_ms
        return self.free_at[server] - now


class Play:
    """Two regions that send their excess to a third one, whose forecasts are old."""

    def __init__(self, context, *, counts_sent):
        self.counts_sent = counts_sent
        self.work_ms, self.target_ms = context.work_ms, context.target_ms
        self.least_age, self.most_age = context.ages
        self.busy = [Region(context.busy_servers) for _ in range(2)]
        self.third = Region(context.third_servers)
        self.sent = [RemoteWork() for _ in self.busy]
        self.forecasts = [(-self.most_age, 0.0)]

    def run(self, seed, *, per_s, third_per_s, seconds):
        rng = random.Random(seed)
        arrivals = sorted(
            (at, number)
            for number, rate in ((0, per_s), (1, per_s), (None, third_per_s))
            for at in arrival_times(rng, rate, seconds * 1_000)
        )
        for now, number in arrivals:
            while self.forecasts[-1][0] + self.most_age - self.least_age <= now:
                at = self.forecasts[-1][0] + self.most_age - self.least_age
                self.forecasts.append((at, self.third.wait_ms(at)))
            region = self.third if number is None else self.busy[number]
            region.asked += 1
            first_ms = self._first_event_ms(region, number, now)
            region.on_time += first_ms <= self.target_ms
        return self

    def _first_event_ms(self, region, number, now):
        if number is None:
            return region.run(now, self.work_ms)
        at, wait_ms = [it for it in self.forecasts if it[0] + self.least_age <= now][-1]
        age_ms = int(now - at)
        unseen_ms = self.sent[number].unseen_ms(
            SERVICE, THIRD, age_ms=age_ms, servers=self.third.servers, now_ms=int(now)
        )
        there_ms = wait_ms + REGION_ROUND_TRIP_MS + (unseen_ms if self.counts_sent else 0)
        if region.wait_ms(now) <= there_ms + SPILL_MARGIN_MS:
            return region.run(now, self.work_ms)
        self.sent[number].record(SERVICE, THIRD, self.work_ms, int(now))
        arrives = now + REGION_ROUND_TRIP_MS / 2
        return self.third.run(arrives, self.work_ms) + REGION_ROUND_TRIP_MS


def arrival_times(rng, per_s, until):
    now, found = rng.expovariate(per_s / 1_000), []
    while now < until:
        found.append(now)
        now += rng.expovariate(per_s / 1_000)
    return found


@given(
    "two regions of {busy:d} servers, and a third of {third:d} whose forecast is "
    "{least:d} to {most:d} ms old"
)
def step_regions(context, busy, third, least, most):
    context.busy_servers, context.third_servers = busy, third
    context.ages = (least, most)


@when(
    "each of the two gets {per_s:d} prompts of {work:d} ms a second for {seconds:d} s, "
    "and the third {third:d}, with an objective of {target:d} ms"
)
def step_play(context, per_s, work, seconds, third, target):
    context.work_ms, context.target_ms = work, target
    context.plays = {
        counts: [
            Play(context, counts_sent=counts).run(
                seed, per_s=per_s, third_per_s=third, seconds=seconds
            )
            for seed in SEEDS
        ]
        for counts in (False, True)
    }


def third_share(plays):
    return sum(it.third.on_time for it in plays) / sum(it.third.asked for it in plays)


def all_on_time(plays):
    return sum(it.third.on_time + sum(busy.on_time for busy in it.busy) for it in plays)


@then(
    "where what was sent counts, at least {percent:d} of 100 more of the third region's callers "
    "are on time"
)
def step_counted(context, percent):
    before, now = (third_share(context.plays[counts]) for counts in (False, True))
    assert (now - before) * 100 >= percent, (before, now)


@then("more callers are on time in all")
def step_more(context):
    before, now = (all_on_time(context.plays[counts]) for counts in (False, True))
    assert now > before, (before, now)


@given(
    "{count:d} prompts of {work:d} ms were sent to a region of {servers:d} servers {ago:d} ms ago"
)
def step_sent(context, count, work, servers, ago):
    context.work, context.servers, context.now = RemoteWork(), servers, 10_000
    for _ in range(count):
        context.work.record(SERVICE, THIRD, work, context.now - ago)


@then("its servers wait {least:d} to {most:d} ms more than its forecast {age:d} ms ago")
def step_unseen(context, least, most, age):
    found = context.work.unseen_ms(
        SERVICE, THIRD, age_ms=age, servers=context.servers, now_ms=context.now
    )
    assert least <= found <= most, found
