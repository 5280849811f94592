"""A state machine of lease holders and engines; its oracle uses only the orders in effect."""

from __future__ import annotations

import asyncio
import heapq

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from hickorybeam.clock import ManualClock
from hickorybeam.control import ControlLease
from hickorybeam.errors import GatewayError
from hickorybeam.standins.platform import MemoryPlatform, PlatformStandIn

LEASE_MS = 6_000
ORDER_MS = 1_500
HOLDERS = st.integers(0, 1)


class ControlMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock()
        self.stand_in = self.call(self.create_stand_in)
        self.platforms = [MemoryPlatform(self.stand_in) for _ in range(2)]
        self.leases = [
            ControlLease(
                platform,
                self.clock,
                data_centre="a",
                vm=f"vm-{index}",
                lease_ms=LEASE_MS,
                order_timeout_ms=ORDER_MS,
            )
            for index, platform in enumerate(self.platforms)
        ]
        self.terms = [None, None]
        self.in_flight_orders = []  # (time of effect in ms, order number, token) at the lax engine
        self.sent = 0
        self.effects = []
        self.strict_token = 0
        self.strict_effects = []

    async def create_stand_in(self):
        return PlatformStandIn(self.clock)

    def teardown(self):
        self.loop.close()

    def call(self, fn, *args):
        try:
            return self.loop.run_until_complete(fn(*args))
        except GatewayError:
            return None

    @rule(ms=st.sampled_from([50, 400, 1_400, 1_700, 3_000, 5_500, 7_000]))
    def time_passes(self, ms):
        end = self.clock._now + ms
        while self.in_flight_orders and self.in_flight_orders[0][0] <= end:
            _, _, token = heapq.heappop(self.in_flight_orders)
            self.effects.append(token)
        self.clock._now = end

    def holding(self):
        return [who for who, term in enumerate(self.terms) if term is not None]

    @rule(who=HOLDERS)
    @precondition(lambda self: len(self.holding()) < 2)
    def take(self, who):
        who = who if self.terms[who] is None else 1 - who
        self.terms[who] = self.call(self.leases[who].acquire)

    @rule(which=HOLDERS)
    @precondition(lambda self: self.holding())
    def renew(self, which):
        who = self.holding()[which % len(self.holding())]
        self.terms[who] = self.call(self.leases[who].renew, self.terms[who])

    @rule(
        which=HOLDERS,
        what=st.sampled_from(["release", "restart", "lose response", "unavailable", "available"]),
    )
    def disturb(self, which, what):
        faults = self.platforms[which].faults
        match what:
            case "release" if self.terms[which] is not None:
                self.call(self.leases[which].release, self.terms[which].lease_id)
                self.terms[which] = None
            case "restart":
                self.terms[which] = None
            case "lose response":
                faults.lose_answers = 1
            case "unavailable" | "available":
                faults.out = what == "unavailable"

    @rule(which=HOLDERS, delay=st.sampled_from([0, ORDER_MS // 2, ORDER_MS]))
    @precondition(lambda self: self.holding())
    def send(self, which, delay):
        term = self.terms[self.holding()[which % len(self.holding())]]
        if term.may_send(self.clock.now()):
            self.sent += 1
            heapq.heappush(
                self.in_flight_orders, (self.clock.now() + delay, self.sent, term.fencing)
            )

    @rule(which=HOLDERS)
    @precondition(lambda self: self.holding())
    def send_late_to_strict(self, which):
        # This engine checks tokens, which must suffice: the term's time limits are not applied.
        term = self.terms[self.holding()[which % len(self.holding())]]
        if term.fencing >= self.strict_token:
            self.strict_token = term.fencing
            self.strict_effects.append(term.fencing)

    @invariant()
    def tokens_never_fall(self):
        assert self.effects == sorted(self.effects), self.effects
        assert self.strict_effects == sorted(self.strict_effects)

    @invariant()
    def one_sender_at_a_time(self):
        now = self.clock.now()
        assert sum(term is not None and term.may_send(now) for term in self.terms) <= 1

    @invariant()
    def tokens_differ(self):
        tokens = [term.fencing for term in self.terms if term is not None]
        assert len(set(tokens)) == len(tokens)


def run_control_machine(runs, steps):
    chosen = settings(
        max_examples=runs,
        stateful_step_count=steps,
        derandomize=True,
        deadline=None,
        database=None,
    )
    run_state_machine_as_test(ControlMachine, settings=chosen)
