from __future__ import annotations

from behave import given, then, when

from hickorybeam.policy.watchers import count_watchers, should_watch

ROUNDS = 6


class DataCentre:
    """VMs that report to each other in rounds whether they watch the store."""

    def __init__(self, count):
        self.names = [f"vm-{number}" for number in range(count)]
        self.watching = set(self.names)
        self.silent = set()
        self.without_store = set()

    def settle(self):
        for _ in range(ROUNDS):
            for name in self.names:
                if name in self.silent:
                    continue
                live = {
                    other: other in self.watching and other not in self.without_store
                    for other in self.names
                    if other != name and other not in self.silent
                }
                if should_watch(name, live):
                    self.watching.add(name)
                else:
                    self.watching.discard(name)

    def live_watchers(self):
        return self.watching - self.silent - self.without_store


@given("a data centre of {count:d} VMs that are live to each other")
def step_centre(context, count):
    context.data_centre = DataCentre(count)
    context.data_centre.settle()


@then("{count:d} VMs watch")
def step_watch(context, count):
    assert len(context.data_centre.watching) == count, context.data_centre.watching


@when("{count:d} watching VMs stop reporting")
def step_silent(context, count):
    context.data_centre.silent = set(sorted(context.data_centre.watching)[:count])
    context.data_centre.settle()


@when("{count:d} watching VMs lose the store")
def step_lose_store(context, count):
    context.data_centre.without_store = set(sorted(context.data_centre.watching)[:count])
    context.data_centre.settle()


@then("{count:d} live VMs watch the store")
def step_live_watchers(context, count):
    assert len(context.data_centre.live_watchers()) == count, context.data_centre.live_watchers()


@when("one VM that doesn't watch becomes isolated")
def step_isolated(context):
    context.isolated = min(set(context.data_centre.names) - context.data_centre.watching)


@then("it watches")
def step_watches(context):
    assert should_watch(context.isolated, {})


@then('data centres of "{sizes}" VMs have {count:d} watchers')
def step_total(context, sizes, count):
    found = {str(number): int(size) for number, size in enumerate(sizes.split(","))}
    assert count_watchers(found) == count
