from __future__ import annotations

from behave import then

from hickorybeam.policy import pacing


@then(
    "with {near:d} other VMs near of {vms:d}, {watchers:d} watching, words are {near_ms:d} and"
    " {outside_ms:d} ms apart"
)
def step_words(context, near, vms, watchers, near_ms, outside_ms):
    context.sizes = near, vms, watchers
    assert pacing.near_every_ms(near) == near_ms
    assert pacing.outside_every_ms(vms) == outside_ms


@then("a VM is gone after {gone:d} ms, a watcher after {watcher_gone:d} ms")
def step_gone(context, gone, watcher_gone):
    near, vms, _ = context.sizes
    assert pacing.gone_after_ms(near=near, vms=vms) == gone
    assert pacing.watcher_gone_after_ms(near) == watcher_gone


@then("a watch rests {rest:d} ms and waits {wait:d} ms")
def step_watch(context, rest, wait):
    _, _, watchers = context.sizes
    assert pacing.watch_rest_ms(watchers) == rest
    assert pacing.watch_wait_ms(watchers) == wait


@then("a young VM of {vms:d} tells other data centres each {ms:d} ms")
def step_young(context, vms, ms):
    assert pacing.outside_every_ms(vms, young=True) == ms
