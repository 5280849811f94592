"""A fleet in several data centres whose VMs tell each other their spends as often as it allows."""

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
# What a word may be late at its VM.
LATE_MS = 5


class SpreadFleet:
    """VMs in one loop of 5 ms steps; a word to another data centre is passed on in its next round.

    Every spend goes into one list, the oracle.
    """

    def __init__(self, size, centres, *, allowance=0.0):
        self.rng = random.Random(1)
        self.now = 1_000
        self.size, self.centres = size, centres
        self.near_ms = local_report_interval_ms(size // centres - 1)
        self.outside_ms = remote_report_interval_ms(size)
        self.alone_ms = quota_peer_timeout_ms(local_peers=size // centres - 1, vms=size)
        self.quiet_ms = isolation_timeout_ms(size // centres - 1)
        self.vms = [
            FleetQuota(allowance=allowance, peer_timeout_ms=self.alone_ms) for _ in range(size)
        ]
        for vm in self.vms:
            vm.configure([AccountTerms(name=NAME, rate_per_s=RATE, burst=BURST)], self.now)
        # All started together.
        self.next_near = [self.now] * size
        self.next_outside = [self.now] * size
        self.on_their_way = []
        self.cut = frozenset()
        self.cut_ms = 0
        self.spends = []

    def run(self, ms, times=0.0):
        """Let time pass while the account sends so many times its rate, at VMs by chance."""
        owed = 0.0
        for _ in range(0, ms, STEP_MS):
            self.now += STEP_MS
            self.talk()
            owed += times * RATE * STEP_MS / 1000 / COST
            while owed >= 1:
                owed -= 1
                self.spend(self.rng.randrange(self.size))

    def cut_off(self, count):
        """Let so many VMs hear nobody and be heard by nobody."""
        self.cut, self.cut_ms = frozenset(range(count)), self.now

    def spend(self, index):
        if self.vms[index].take(NAME, COST, self.now) is None:
            self.spends.append(self.now)

    def talk(self):
        for index in range(self.size):
            if self.now >= self.next_near[index]:
                self.next_near[index] = self.now + self.near_ms + self.rng.uniform(0, LATE_MS)
                self.tell(index, index % self.centres, self.vms[index].spent_totals())
                self.notice(index)
            if self.now >= self.next_outside[index]:
                self.next_outside[index] = self.now + jittered_interval_ms(
                    self.outside_ms, self.rng
                )
                self.tell_outside(index)
        while self.on_their_way and self.on_their_way[0][0] <= self.now:
            _, index, centre, totals = heapq.heappop(self.on_their_way)
            self.tell(index, centre, totals)

    def tell_outside(self, index):
        totals = self.vms[index].spent_totals()
        for centre in range(self.centres):
            if centre != index % self.centres:
                due = self.now + self.rng.uniform(0, self.near_ms)
                heapq.heappush(self.on_their_way, (due, index, centre, totals))

    def tell(self, index, centre, totals):
        for other in range(centre, self.size, self.centres):
            if other != index and not {other, index} & self.cut:
                self.vms[other].apply_totals(str(index), totals, self.now, started_later=False)

    def notice(self, index):
        """Take note of how many VMs are heard, as late as a fleet of that size may notice it."""
        heard = self.size
        if index in self.cut and self.now - self.cut_ms > self.quiet_ms:
            heard = 1
        elif index not in self.cut and self.now - self.cut_ms > self.alone_ms:
            heard = self.size - len(self.cut)
        self.vms[index].set_live_vms(heard, self.size, self.now)

    def most_in_a_window(self):
        most = begin = 0
        for end, at in enumerate(self.spends):
            while at - self.spends[begin] > WINDOW_MS:
                begin += 1
            most = max(most, (end - begin + 1) * COST)
        return most
