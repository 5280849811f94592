from __future__ import annotations

import itertools

from behave import given, then, when

from hickorybeam.model.routing import AccountTerms
from hickorybeam.policy.fleet_quota import FleetQuota

RATE = 1000.0
COST = 10.0
STEP_MS = 5
NAME = "hot"


def terms(rate=RATE):
    return AccountTerms(name=NAME, rate_per_s=rate, burst=rate)


class Fleet:
    """VMs in one loop of 5 ms steps; the oracle is a list of all admitted spends."""

    def __init__(self, size, interval_ms):
        self.now = 1_000
        self.interval_ms = interval_ms
        self.size = size
        self.vms = [FleetQuota() for _ in range(size)]
        self.started = [self.now] * size
        self.incarnations = [0] * size
        self.partitions = [0] * size
        self.spends = []
        self.request_count = 0
        for vm in self.vms:
            vm.configure([terms()], self.now)
        self.run(2_000)

    def report(self, index):
        me = self.vms[index]
        live = [
            other for other in range(self.size) if self.partitions[other] == self.partitions[index]
        ]
        for other in live:
            if other != index:
                started_later = self.started[index] > self.started[other]
                incarnation = f"{index}/{self.incarnations[index]}"
                self.vms[other].apply_totals(
                    incarnation, me.spent_totals(), self.now, started_later=started_later
                )
        me.set_live_vms(len(live), self.size, self.now)

    def run(self, ms, *, send=None, restart_ms=0):
        restarts = itertools.cycle(range(self.size))
        for elapsed_ms in range(0, ms, STEP_MS):
            self.now += STEP_MS
            if send is not None:
                send(elapsed_ms)
            for index in range(self.size):
                # VMs report at different moments, as in a fleet.
                if (self.now + index * 37) % self.interval_ms < STEP_MS:
                    self.report(index)
            if restart_ms and elapsed_ms and elapsed_ms % restart_ms == 0:
                self.restart(next(restarts))

    def restart(self, index):
        self.vms[index] = FleetQuota()
        self.vms[index].configure([terms()], self.now)
        self.started[index] = self.now
        self.incarnations[index] += 1
        other = self.vms[(index + 1) % self.size]
        self.vms[index].adopt_levels(other.levels(), self.now)

    def spend(self, index):
        self.request_count += 1
        if self.vms[index].take(NAME, COST, self.now) is None:
            self.spends.append(self.now)

    def sender(self, times, pick):
        due = 0.0

        def send(elapsed_ms):
            nonlocal due
            due += times * RATE * STEP_MS / 1000 / COST
            while due >= 1:
                due -= 1
                self.spend(pick(elapsed_ms))

        return send


@given("{vms:d} VMs that report to each other every {ms:d} ms, for an account of 1000 a second")
def step_fleet(context, vms, ms):
    context.quota = Fleet(vms, ms)


@when("VMs 1 to {side:d} are partitioned from the others")
def step_partition(context, side):
    fleet = context.quota
    fleet.partitions = [0 if index < side else 1 for index in range(fleet.size)]
    fleet.run(1_600)


@when("the account sends {times:g} times its rate for {seconds:d} s")
def step_send(context, times, seconds):
    fleet = context.quota
    turn = itertools.cycle(range(fleet.size))
    fleet.run(seconds * 1000, send=fleet.sender(times, lambda _: next(turn)))


@when(
    "the account sends {times:g} times its rate for {seconds:d} s, through one VM after the other"
)
def step_move(context, times, seconds):
    fleet = context.quota
    pick = lambda elapsed_ms: elapsed_ms // 2_500 % fleet.size  # noqa: E731
    fleet.run(seconds * 1000, send=fleet.sender(times, pick))


@when("a VM restarts every {ms:d} ms while the account sends {times:d} times its rate for 20 s")
def step_restarts(context, ms, times):
    fleet = context.quota
    turn = itertools.cycle(range(fleet.size))
    fleet.run(20_000, send=fleet.sender(times, lambda _: next(turn)), restart_ms=ms)


@then("no window of 8 s spends over 1.1 times rate and burst plus {slack:d}")
def step_limit(context, slack):
    spends = context.quota.spends
    assert spends
    max_spent = 0
    begin = 0
    for end, at in enumerate(spends):
        while at - spends[begin] > 8_000:
            begin += 1
        max_spent = max(max_spent, (end - begin + 1) * COST)
    assert max_spent <= 1.1 * (RATE * 8 + RATE) + slack, max_spent


@then("at least {share:d} of 100 requests were admitted after the first 2 s")
def step_admitted(context, share):
    fleet = context.quota
    assert len(fleet.spends) >= fleet.request_count * share / 100, (
        len(fleet.spends),
        fleet.request_count,
    )


@when("the limit falls to {rate:d} a second")
def step_lower_limit(context, rate):
    context.quota.vms[0].configure([terms(float(rate))], context.quota.now)


@then("the level is at most {level:d}")
def step_level(context, level):
    assert context.quota.vms[0].levels()[NAME] <= level


@when("{cost:d} is spent and refunded")
def step_refund(context, cost):
    vm, now = context.quota.vms[0], context.quota.now
    assert vm.take(NAME, cost, now) is None
    assert vm.take(NAME, cost, now) is not None
    vm.refund(NAME, cost, now)


@then("{cost:d} can be spent again")
def step_again(context, cost):
    assert context.quota.vms[0].take(NAME, cost, context.quota.now) is None


@when("{cost:d} is spent at the first VM and reported to the others")
def step_spend_first(context, cost):
    fleet = context.quota
    assert fleet.vms[0].take(NAME, cost, fleet.now) is None
    fleet.run(300)


@when("the account is removed and added again at the first VM")
def step_remove_and_add(context):
    fleet = context.quota
    context.level_before = fleet.vms[1].levels()[NAME], fleet.now
    fleet.vms[0].configure([], fleet.now)
    fleet.vms[0].configure([terms()], fleet.now)
    assert fleet.vms[0].take(NAME, COST, fleet.now) is not None
    fleet.run(100)
    assert fleet.vms[0].take(NAME, COST, fleet.now) is None
    fleet.run(300)


@then("the second VM's level has not risen by more than the time allows")
def step_level_second(context):
    fleet = context.quota
    level, at = context.level_before
    vm = fleet.vms[1]
    vm.refund(NAME, 0, fleet.now)
    assert vm.levels()[NAME] <= level + (fleet.now - at) * RATE / 1000 - COST + 1, vm.levels()


@when("a request of {cost:d} is spent")
def step_large(context, cost):
    fleet = context.quota
    assert fleet.vms[0].take(NAME, cost, fleet.now) is None


@then("for {refused:d} ms nothing can be spent, and after {admitted:d} ms it can")
def step_paid_off(context, refused, admitted):
    fleet = context.quota
    start_ms = fleet.now
    while fleet.now < start_ms + refused:
        fleet.run(100)
        assert fleet.vms[0].take(NAME, COST, fleet.now) is not None, fleet.now - start_ms
    fleet.run(admitted - refused)
    assert fleet.vms[0].take(NAME, COST, fleet.now) is None


@given("an account of {rate:g} a second with a burst of {burst:g}")
def step_account(context, rate, burst):
    context.quota = FleetQuota()
    context.quota.configure([AccountTerms(name=NAME, rate_per_s=rate, burst=burst)], 1_000)


@when("the account spends {cost:g} twice")
def step_spends_twice(context, cost):
    context.waits = [context.quota.take(NAME, cost, 2_000) for _ in range(2)]


@then("the second one has to wait for a number of ms")
def step_waits(context):
    assert isinstance(context.waits[1], int), context.waits
    assert context.waits[1] >= 1, context.waits
