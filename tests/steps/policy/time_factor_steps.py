from __future__ import annotations

import random

from behave import given, then, when

from hickorybeam.model.routing import RegisteredServer
from hickorybeam.policy.load_checks import server_to_ask
from hickorybeam.policy.server_choice import ServerState, choose_server, expected_wait_ms
from hickorybeam.policy.time_factor import TimeFactor

START_MS = 100_000
TOLD_EACH_MS = 100
PROMPT_TOKENS = 4_000
WORK_MS = 100.0
# The factors of one half second; their mean is 1.3.
FACTORS = (0.6, 0.8, 1.0, 1.3, 2.5)
IN_TIME_MS = 200


def server(name, slots=8):
    registered = RegisteredServer(
        id=name, service="m", host="h", port=1, data_centre="d", slots=slots
    )
    return ServerState(registered)


@given("a server that said {usual:g} each 100 ms for {seconds:d} s, and then {last:g}")
def step_said(context, usual, seconds, last):
    context.factor, context.now = TimeFactor(), START_MS
    for _ in range(seconds * 1000 // TOLD_EACH_MS):
        context.factor.record(usual, context.now)
        context.now += TOLD_EACH_MS
    context.factor.record(last, context.now)


@when("it is told that the server said {factor} {age:d} ms ago")
def step_told(context, factor, age):
    assert not context.factor.record(float(factor), context.now - age)


@then("its factor is between {least:g} and {most:g} at once")
def step_at_once(context, least, most):
    assert least <= context.factor.at(context.now) <= most


@then("its factor is between {least:g} and {most:g} after {ms:d} ms")
def step_after(context, least, most, ms):
    assert least <= context.factor.at(context.now + ms) <= most, context.factor.at(context.now + ms)


@given('servers "{names}" of {slots:d} slots')
def step_servers(context, names, slots):
    context.servers = {name: server(name, slots) for name in names.split(", ")}
    context.now = START_MS


@then('the expected wait at "{name}" is the same whether the time is {one:d} ms or {other:d} ms')
def step_same(context, name, one, other):
    state = context.servers[name]
    assert expected_wait_ms(state, 4_000, one) == expected_wait_ms(state, 4_000, other)


@when(
    '"{name}" says {factor:g} and prefills {count:d} prompts of {tokens:d} tokens in {ms:d} ms each'
)
def step_prefills(context, name, factor, count, tokens, ms):
    state = context.servers[name]
    for _ in range(count):
        state.time_factor.record(factor, context.now)
        state.speed.record_prefill(tokens, ms / state.time_factor.at(context.now))
        context.now += ms


@then('the learned speed of "{name}" is within {share:g} of {tokens_per_ms:d} tokens a ms')
def step_learned(context, name, share, tokens_per_ms):
    learned = context.servers[name].speed.prefill_tokens_per_ms
    assert abs(learned / tokens_per_ms - 1) <= share, learned


class Play:
    """Prompts read one after the other by servers whose speed changes each half second."""

    def __init__(self, servers, load, *, told):
        self.rng = random.Random(1)
        self.states = [server(f"s{number:02}", 64) for number in range(servers)]
        self.told = told
        self.backlogs = {state: [] for state in self.states}
        self.per_ms = servers * load / WORK_MS / (sum(FACTORS) / len(FACTORS))
        self.took_ms = []

    def run(self, seconds):
        owed, now = 0.0, START_MS
        factors = dict.fromkeys(self.states, 1.0)
        for _ in range(seconds * 1000):
            now += 1
            for index, state in enumerate(self.states):
                # The servers don't change at the same moments.
                if (now + index * 31) % 500 == 0:
                    factors[state] = self.rng.choice(FACTORS)
                self.read(state, factors[state], now)
            owed += self.per_ms
            while owed >= 1:
                owed -= 1
                self.place(now)
        return self

    def place(self, now):
        state = choose_server(
            self.states, parts=(), prompt_tokens=PROMPT_TOKENS, now_ms=now, rng=self.rng
        )
        state.own_requests += 1
        state.own_prefill_tokens += PROMPT_TOKENS
        self.backlogs[state].append([now, WORK_MS])

    def read(self, state, factor, now):
        backlog = self.backlogs[state]
        if not backlog:
            return
        backlog[0][1] -= 1 / factor
        if backlog[0][1] <= 0:
            sent_ms, _ = backlog.pop(0)
            self.took_ms.append(now - sent_ms)
            state.own_requests -= 1
            state.own_prefill_tokens -= PROMPT_TOKENS
            if self.told:
                state.time_factor.record(factor, now)

    @property
    def late_share(self):
        return sum(it > IN_TIME_MS for it in self.took_ms) / len(self.took_ms)


@given(
    "{count:d} servers whose speed changes each 500 ms, and prompts for {load:g} of what they bear"
)
def step_changing(context, count, load):
    context.count, context.load = count, load


@when("they are placed for {seconds:d} s with what servers say, and without it")
def step_play(context, seconds):
    context.with_word = Play(context.count, context.load, told=True).run(seconds).late_share
    context.without = Play(context.count, context.load, told=False).run(seconds).late_share


@then("at least {share:g} of the prompts are read within 200 ms with what servers say")
def step_in_time(context, share):
    assert 1 - context.with_word >= share, (context.with_word, context.without)


@then("at most half as many are later than that as without it")
def step_half(context):
    assert context.with_word <= context.without / 2, (context.with_word, context.without)


@when('"{name}" says {factor:g} for {seconds:d} s and runs {count:d} requests')
def step_says_for(context, name, factor, seconds, count):
    state = context.servers[name]
    for _ in range(seconds * 1000 // TOLD_EACH_MS):
        context.now += TOLD_EACH_MS
        state.time_factor.record(factor, context.now)
    state.own_requests = count


@when('"{name}" says {factor:g}')
def step_says(context, name, factor):
    context.now += 1
    context.servers[name].time_factor.record(factor, context.now)


@then('there is room at "{name}" for one more')
def step_room(context, name):
    assert context.servers[name].has_room(0, context.now)


@then('there is no room at "{name}"')
def step_no_room(context, name):
    assert not context.servers[name].has_room(0, context.now)


@given('"{one}" and "{other}" say {factor:g} now')
def step_say_now(context, one, other, factor):
    for name in (one, other):
        state = context.servers[name]
        state.own_requests = 1
        state.time_factor = TimeFactor(factor, context.now, factor)


@given(
    '"{name}" said {factor:g} on average, {spread:g} from it usually, '
    "for the last time {age:d} ms ago"
)
def step_said_on_average(context, name, factor, spread, age):
    context.servers[name].time_factor = TimeFactor(factor, context.now - age, factor, spread)


@then('the server to ask is "{name}"')
def step_asked(context, name):
    asked = server_to_ask(list(context.servers.values()), context.now)
    assert (asked.server.id if asked else "none") == name
