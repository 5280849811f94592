"""Intervals and timeouts of status reports between VMs, and of polls that watch the store.

They grow with the fleet. With fixed intervals the datagrams of each VM would grow with the VMs of
its data centre, and the store's calls with all VMs; bytes between data centres and calls to the
store are paid for. All times are in ms.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

__all__ = (
    "MIN_QUOTA_PEER_TIMEOUT_MS",
    "MIN_PEER_TIMEOUT_MS",
    "peer_timeout_ms",
    "local_report_interval_ms",
    "remote_report_interval_ms",
    "isolation_timeout_ms",
    "jittered_interval_ms",
    "quota_peer_timeout_ms",
    "watch_pause_ms",
    "watch_poll_timeout_ms",
    "watcher_timeout_ms",
)

# Reports to the own data centre, whose usage figures also balance load. The interval grows with
# the VMs in it, so that a VM sends and receives about 140 datagrams a second. Prefill of a prompt
# takes about 200 ms: reports further apart would describe prompts whose prefill is over, and VMs
# would overload one server.
MIN_LOCAL_INTERVAL_MS = 100
LOCAL_INTERVAL_PER_VM_MS = 7
# Reports to one VM of each other data centre, which forwards them within its own.
MIN_REMOTE_INTERVAL_MS = 400
REMOTE_INTERVAL_PER_VM_MS = 8
MAX_REMOTE_INTERVAL_MS = 1_500
# After all VMs were killed, those of a region know of no other region's until the first remote
# report, while every caller returns at once: with the usual interval a region's own servers got a
# second's worth of prompts while others were idle.
STARTUP_REMOTE_INTERVAL_MS = 100
# Remote reports are sent earlier or later by up to this proportion of their interval. VMs that
# started together would otherwise report together: all would get no updates for 1.5 s, and then
# all updates at once.
JITTER = 0.5
# A VM is no longer live after this many missed reports, but not before the minimum time: it is
# not listed to callers and gets no share of a quota.
PEER_TIMEOUT_REPORTS = 4
MIN_PEER_TIMEOUT_MS = 1_500
MIN_WATCHER_TIMEOUT_MS = 1_200
# For quotas, fewer missed reports count as a partition, but not before the minimum time.
QUOTA_PEER_TIMEOUT_REPORTS = 2
MIN_QUOTA_PEER_TIMEOUT_MS = 2_000
# Pause of a watch after a change, so that changes close together cost one call: each change wakes
# every watcher. It grows with their number.
MIN_PAUSE_MS = 400
PAUSE_PER_WATCHER_MS = 40
MAX_PAUSE_MS = 1_200
# A poll without changes ends after this long for each watcher, within limits: a connection that
# went silent is detected by the first VM that polls again, whose report wakes the others.
POLL_TIMEOUT_PER_WATCHER_MS = 1_000
MIN_POLL_TIMEOUT_MS = 6_000
MAX_POLL_TIMEOUT_MS = 20_000


def local_report_interval_ms(local_peers: int) -> int:
    """Return the time between reports to the own data centre.

    :param local_peers: number of other VMs in the data centre.
    """
    return max(MIN_LOCAL_INTERVAL_MS, LOCAL_INTERVAL_PER_VM_MS * local_peers)


def remote_report_interval_ms(vms: int, *, just_started: bool = False) -> int:
    """Return the time between reports to each other data centre.

    :param vms: number of VMs in the fleet.
    :param just_started: the VM has just started, and the fleet needs to know of it soon.
    """
    if just_started:
        return STARTUP_REMOTE_INTERVAL_MS
    return max(MIN_REMOTE_INTERVAL_MS, min(MAX_REMOTE_INTERVAL_MS, REMOTE_INTERVAL_PER_VM_MS * vms))


def jittered_interval_ms(interval_ms: int, rng: random.Random) -> float:
    """Return the time until the next remote report, with jitter."""
    return interval_ms * rng.uniform(1 - JITTER, 1 + JITTER)


def peer_timeout_ms(*, local_peers: int, vms: int) -> int:
    """Return the time without a report, direct or forwarded, after which a VM isn't live."""
    return max(
        MIN_PEER_TIMEOUT_MS,
        PEER_TIMEOUT_REPORTS
        * (local_report_interval_ms(local_peers) + remote_report_interval_ms(vms)),
    )


def isolation_timeout_ms(local_peers: int) -> int:
    """Return the time without any report after which a VM considers itself isolated."""
    return watcher_timeout_ms(local_peers)


def quota_peer_timeout_ms(*, local_peers: int, vms: int) -> int:
    """Return the time without a report after which a VM counts as spending its own quota share.

    In a fleet of hundreds ``peer_timeout_ms`` is most of a quota's window. Until then both sides
    of a partition would spend whole rates.
    """
    report_interval_ms = local_report_interval_ms(local_peers) + remote_report_interval_ms(vms)
    return min(
        peer_timeout_ms(local_peers=local_peers, vms=vms),
        max(MIN_QUOTA_PEER_TIMEOUT_MS, QUOTA_PEER_TIMEOUT_REPORTS * report_interval_ms),
    )


def watcher_timeout_ms(local_peers: int) -> int:
    """Return the time without a report after which a local watcher is no longer relied on."""
    return max(MIN_WATCHER_TIMEOUT_MS, PEER_TIMEOUT_REPORTS * local_report_interval_ms(local_peers))


def watch_pause_ms(watchers: int) -> int:
    """Return the pause of a watch after a poll that returned changes.

    :param watchers: number of VMs in the fleet that watch the store.
    """
    return max(MIN_PAUSE_MS, min(MAX_PAUSE_MS, PAUSE_PER_WATCHER_MS * watchers))


def watch_poll_timeout_ms(watchers: int) -> int:
    """Return how long one poll of a watch may wait at the store.

    :param watchers: number of VMs in the fleet that watch the store.
    """
    return max(
        MIN_POLL_TIMEOUT_MS, min(MAX_POLL_TIMEOUT_MS, POLL_TIMEOUT_PER_WATCHER_MS * watchers)
    )
