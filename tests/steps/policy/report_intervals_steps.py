from __future__ import annotations

from behave import then

from hickorybeam.policy import report_intervals


@then(
    "with {local:d} local peers of {vms:d} VMs, {watchers:d} watching, reports are {local_ms:d} and"
    " {remote_ms:d} ms apart"
)
def step_reports(context, local, vms, watchers, local_ms, remote_ms):
    context.sizes = local, vms, watchers
    assert report_intervals.local_report_interval_ms(local) == local_ms
    assert report_intervals.remote_report_interval_ms(vms) == remote_ms


@then("a VM times out after {peer:d} ms, a watcher after {watcher:d} ms")
def step_timeouts(context, peer, watcher):
    local, vms, _ = context.sizes
    assert report_intervals.peer_timeout_ms(local_peers=local, vms=vms) == peer
    assert report_intervals.watcher_timeout_ms(local) == watcher


@then("a watch pauses {pause:d} ms and polls for up to {poll:d} ms")
def step_watch(context, pause, poll):
    _, _, watchers = context.sizes
    assert report_intervals.watch_pause_ms(watchers) == pause
    assert report_intervals.watch_poll_timeout_ms(watchers) == poll


@then("a VM of {vms:d} that has just started reports to other data centres every {ms:d} ms")
def step_just_started(context, vms, ms):
    assert report_intervals.remote_report_interval_ms(vms, just_started=True) == ms
