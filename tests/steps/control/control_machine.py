"""A state machine of holders and engines; the oracle reads only what took effect, and when."""

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
        self.stand_in = self.call(self.make)
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
        self.turns = [None, None]
        self.on_the_way = []  # (when it takes effect, number, token) at the lax engine
        self.sent = 0
        self.effects = []
        self.strict = 0
        self.strict_effects = []

    async def make(self):
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
        while self.on_the_way and self.on_the_way[0][0] <= end:
            _, _, token = heapq.heappop(self.on_the_way)
            self.effects.append(token)
        self.clock._now = end

    def holding(self):
        return [who for who, turn in enumerate(self.turns) if turn is not None]

    @rule(who=HOLDERS)
    @precondition(lambda self: len(self.holding()) < 2)
    def take(self, who):
        who = who if self.turns[who] is None else 1 - who
        self.turns[who] = self.call(self.leases[who].take)

    @rule(which=HOLDERS)
    @precondition(lambda self: self.holding())
    def renew(self, which):
        who = self.holding()[which % len(self.holding())]
        self.turns[who] = self.call(self.leases[who].renew, self.turns[who])

    @rule(which=HOLDERS, what=st.sampled_from(["give up", "restart", "lose", "out", "in"]))
    def disturb(self, which, what):
        faults = self.platforms[which].faults
        match what:
            case "give up" if self.turns[which] is not None:
                self.call(self.leases[which].give_up, self.turns[which].lease)
                self.turns[which] = None
            case "restart":
                self.turns[which] = None
            case "lose":
                faults.lose_answers = 1
            case "out" | "in":
                faults.out = what == "out"

    @rule(which=HOLDERS, delay=st.sampled_from([0, ORDER_MS // 2, ORDER_MS]))
    @precondition(lambda self: self.holding())
    def send(self, which, delay):
        turn = self.turns[self.holding()[which % len(self.holding())]]
        if turn.may_send(self.clock.now()):
            self.sent += 1
            heapq.heappush(self.on_the_way, (self.clock.now() + delay, self.sent, turn.fencing))

    @rule(which=HOLDERS)
    @precondition(lambda self: self.holding())
    def send_late_to_strict(self, which):
        # The token alone must do here, so the turn's times are not asked.
        turn = self.turns[self.holding()[which % len(self.holding())]]
        if turn.fencing >= self.strict:
            self.strict = turn.fencing
            self.strict_effects.append(turn.fencing)

    @invariant()
    def tokens_never_fall(self):
        assert self.effects == sorted(self.effects), self.effects
        assert self.strict_effects == sorted(self.strict_effects)

    @invariant()
    def one_sender_at_a_time(self):
        now = self.clock.now()
        assert sum(turn is not None and turn.may_send(now) for turn in self.turns) <= 1

    @invariant()
    def tokens_differ(self):
        tokens = [turn.fencing for turn in self.turns if turn is not None]
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
