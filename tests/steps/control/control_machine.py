"""A state machine of holders and engines; the oracle reads only what took effect, and when."""

from __future__ import annotations

import asyncio
import heapq

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

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
        self.renewals = []  # answers on their way to a holder that is paused meanwhile

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

    @rule(who=HOLDERS)
    def take(self, who):
        if self.turns[who] is None:
            self.turns[who] = self.call(self.leases[who].take)

    @rule(who=HOLDERS)
    def renew(self, who):
        if self.turns[who] is not None:
            self.turns[who] = self.call(self.leases[who].renew, self.turns[who])

    @rule(who=HOLDERS)
    def give_up(self, who):
        if self.turns[who] is not None:
            self.call(self.leases[who].give_up, self.turns[who].lease)
            self.turns[who] = None

    @rule(who=HOLDERS)
    def restart(self, who):
        self.turns[who] = None

    @rule(who=HOLDERS, count=st.integers(1, 3))
    def lose_answers(self, who, count):
        self.platforms[who].faults.lose_answers = count

    @rule(who=HOLDERS, out=st.booleans())
    def platform_out(self, who, out):
        self.platforms[who].faults.out = out

    @rule(who=HOLDERS, delay=st.integers(0, ORDER_MS))
    def send(self, who, delay):
        turn = self.turns[who]
        if turn is not None and turn.may_send(self.clock.now()):
            self.sent += 1
            heapq.heappush(self.on_the_way, (self.clock.now() + delay, self.sent, turn.fencing))

    @rule(who=HOLDERS)
    def send_late_to_strict(self, who):
        # The token alone must do here, so the turn's times are not asked.
        turn = self.turns[who]
        if turn is not None and turn.fencing >= self.strict:
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
