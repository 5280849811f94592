"""A fleet in several data centres whose VMs report their spending at the intervals in force."""

from __future__ import annotations

import heapq
import random

from hickorybeam.model.routing import AccountTerms
from hickorybeam.policy.fleet_quota import FleetQuota
from hickorybeam.policy.report_intervals import (
    isolation_timeout_ms,
    jittered_interval_ms,
    local_report_interval_ms,
    quota_peer_timeout_ms,
    remote_report_interval_ms,
)

__all__ = ("BURST", "RATE", "WINDOW_MS", "SpreadFleet")

RATE = 1000.0
BURST = 1000.0
COST = 10.0
STEP_MS = 5
NAME = "hot"
WINDOW_MS = 8_000
# Longest delay of a report inside a data centre.
MAX_DELAY_MS = 5


class SpreadFleet:
    """VMs simulated in steps of 5 ms.

    A report to another data centre is relayed there in the next local round. All spending goes
    into one list, which the tests take as the truth.
    """

    def __init__(self, size, centres, *, allowance=0.0):
        self.rng = random.Random(1)
        self.now = 1_000
        self.size, self.centres = size, centres
        self.local_interval_ms = local_report_interval_ms(size // centres - 1)
        self.remote_interval_ms = remote_report_interval_ms(size)
        self.peer_timeout_ms = quota_peer_timeout_ms(local_peers=size // centres - 1, vms=size)
        self.isolation_ms = isolation_timeout_ms(size // centres - 1)
        self.vms = [
            FleetQuota(allowance=allowance, peer_timeout_ms=self.peer_timeout_ms)
            for _ in range(size)
        ]
        for vm in self.vms:
            vm.configure([AccountTerms(name=NAME, rate_per_s=RATE, burst=BURST)], self.now)
        # All VMs start together.
        self.next_local = [self.now] * size
        self.next_remote = [self.now] * size
        self.in_transit = []
        self.isolated = frozenset()
        self.isolated_since_ms = 0
        self.spends = []

    def run(self, ms, times=0.0):
        """Let time pass while the account sends so many times its rate, at random VMs."""
        owed = 0.0
        for _ in range(0, ms, STEP_MS):
            self.now += STEP_MS
            self.exchange_reports()
            owed += times * RATE * STEP_MS / 1000 / COST
            while owed >= 1:
                owed -= 1
                self.spend(self.rng.randrange(self.size))

    def cut_off(self, count):
        """Isolate so many VMs: no report from or to them arrives any more."""
        self.isolated, self.isolated_since_ms = frozenset(range(count)), self.now

    def spend(self, index):
        if self.vms[index].take(NAME, COST, self.now) is None:
            self.spends.append(self.now)

    def exchange_reports(self):
        for index in range(self.size):
            if self.now >= self.next_local[index]:
                self.next_local[index] = (
                    self.now + self.local_interval_ms + self.rng.uniform(0, MAX_DELAY_MS)
                )
                self.report(index, index % self.centres, self.vms[index].spent_totals())
                self.update_live_vms(index)
            if self.now >= self.next_remote[index]:
                self.next_remote[index] = self.now + jittered_interval_ms(
                    self.remote_interval_ms, self.rng
                )
                self.report_remotely(index)
        while self.in_transit and self.in_transit[0][0] <= self.now:
            _, index, centre, totals = heapq.heappop(self.in_transit)
            self.report(index, centre, totals)

    def report_remotely(self, index):
        totals = self.vms[index].spent_totals()
        for centre in range(self.centres):
            if centre != index % self.centres:
                due = self.now + self.rng.uniform(0, self.local_interval_ms)
                heapq.heappush(self.in_transit, (due, index, centre, totals))

    def report(self, index, centre, totals):
        for other in range(centre, self.size, self.centres):
            if other != index and not {other, index} & self.isolated:
                self.vms[other].apply_totals(str(index), totals, self.now, started_later=False)

    def update_live_vms(self, index):
        """Set the number of live VMs, as late as a fleet of this size may detect a change."""
        live = self.size
        if index in self.isolated and self.now - self.isolated_since_ms > self.isolation_ms:
            live = 1
        elif (
            index not in self.isolated and self.now - self.isolated_since_ms > self.peer_timeout_ms
        ):
            live = self.size - len(self.isolated)
        self.vms[index].set_live_vms(live, self.size, self.now)

    def most_in_a_window(self):
        most = begin = 0
        for end, at in enumerate(self.spends):
            while at - self.spends[begin] > WINDOW_MS:
                begin += 1
            most = max(most, (end - begin + 1) * COST)
        return most
