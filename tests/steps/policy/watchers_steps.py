from __future__ import annotations

from behave import given, then, when

from hickorybeam.policy.watchers import count_watchers, should_watch

ROUNDS = 6


class Centre:
    """VMs that tell each other in rounds whether they follow the store."""

    def __init__(self, count):
        self.names = [f"vm-{number}" for number in range(count)]
        self.watching = set(self.names)
        self.unheard = set()
        self.cut = set()

    def settle(self):
        for _ in range(ROUNDS):
            for name in self.names:
                if name in self.unheard:
                    continue
                heard = {
                    other: other in self.watching and other not in self.cut
                    for other in self.names
                    if other != name and other not in self.unheard
                }
                if should_watch(name, heard):
                    self.watching.add(name)
                else:
                    self.watching.discard(name)

    def followers(self):
        return self.watching - self.unheard - self.cut


@given("a data centre of {count:d} VMs that have heard each other")
def step_centre(context, count):
    context.centre = Centre(count)
    context.centre.settle()


@then("{count:d} VMs watch")
def step_watch(context, count):
    assert len(context.centre.watching) == count, context.centre.watching


@when("{count:d} watching VMs are heard no more")
def step_unheard(context, count):
    context.centre.unheard = set(sorted(context.centre.watching)[:count])
    context.centre.settle()


@when("{count:d} watching VMs don't follow any more")
def step_cut(context, count):
    context.centre.cut = set(sorted(context.centre.watching)[:count])
    context.centre.settle()


@then("{count:d} VMs watch that are heard and follow the store")
def step_followers(context, count):
    assert len(context.centre.followers()) == count, context.centre.followers()


@when("one VM that doesn't watch hears nobody any more")
def step_alone(context):
    context.alone = min(set(context.centre.names) - context.centre.watching)


@then("it watches")
def step_watches(context):
    assert should_watch(context.alone, {})


@then('data centres of "{sizes}" VMs have {count:d} watchers')
def step_total(context, sizes, count):
    found = {str(number): int(size) for number, size in enumerate(sizes.split(","))}
    assert count_watchers(found) == count
