from __future__ import annotations

from behave import then

from hickorybeam.policy import report_intervals


@then(
    "with {near:d} other VMs near of {vms:d}, {watchers:d} watching, words are {near_ms:d} and"
    " {outside_ms:d} ms apart"
)
def step_words(context, near, vms, watchers, near_ms, outside_ms):
    context.sizes = near, vms, watchers
    assert report_intervals.local_report_interval_ms(near) == near_ms
    assert report_intervals.remote_report_interval_ms(vms) == outside_ms


@then("a VM is gone after {gone:d} ms, a watcher after {watcher_gone:d} ms")
def step_gone(context, gone, watcher_gone):
    near, vms, _ = context.sizes
    assert report_intervals.peer_timeout_ms(local_peers=near, vms=vms) == gone
    assert report_intervals.watcher_timeout_ms(near) == watcher_gone


@then("a watch rests {rest:d} ms and waits {wait:d} ms")
def step_watch(context, rest, wait):
    _, _, watchers = context.sizes
    assert report_intervals.watch_pause_ms(watchers) == rest
    assert report_intervals.watch_poll_timeout_ms(watchers) == wait


@then("a young VM of {vms:d} tells other data centres each {ms:d} ms")
def step_young(context, vms, ms):
    assert report_intervals.remote_report_interval_ms(vms, just_started=True) == ms
