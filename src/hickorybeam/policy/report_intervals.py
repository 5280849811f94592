"""How often VMs tell each other about themselves, and how long watches of the store rest.

Load it answers: a fleet that grows. With fixed intervals each VM's datagrams would grow with the
VMs of its data centre, and the store's calls with all of them; bytes between data centres and
calls are paid for. All times are in ms.
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

# Words to the own data centre, whose figures also spread the load; longer apart for each VM in
# it, so that what a VM sends and reads stays at about 140 datagrams a second. A prompt is read in
# about 200 ms: words further apart tell of prompts that are read already, and VMs crowd on one
# server.
NEAR_EVERY_MS = 100
NEAR_EVERY_PER_VM_MS = 7
# Words to one VM of each other data centre, which passes them on within its own.
OUTSIDE_EVERY_MS = 400
OUTSIDE_EVERY_PER_VM_MS = 8
MOST_OUTSIDE_EVERY_MS = 1_500
# After all VMs were killed, those of a region hear of no other for as long as these words are
# apart, while every caller comes back at once: its own servers got a second's worth of prompts
# beside idle ones elsewhere.
YOUNG_OUTSIDE_EVERY_MS = 100
# Words to other data centres come by up to this share of their time earlier or later. VMs that
# started together would speak together: all learn nothing for a second and a half, and then
# everything at once.
OUT_OF_STEP = 0.5
# A VM that wasn't heard for so many words that it should have sent counts as gone, and not
# before the least time: it is not named to callers and holds no part of a quota.
HEARD_TIMES = 4
MIN_PEER_TIMEOUT_MS = 1_500
LEAST_WATCHER_HEARD_MS = 1_200
# For quotas, words missed are taken for a cut sooner, and not before the least time.
ALONE_TIMES = 2
MIN_QUOTA_PEER_TIMEOUT_MS = 2_000
# After a change the watch rests, so that changes which come together cost one call: each change
# wakes every watcher. With more of them it rests for longer.
REST_MS = 400
REST_PER_WATCHER_MS = 40
MOST_REST_MS = 1_200
# A quiet watch is asked again after this long for each watcher, within bounds: one whose
# connection went silent is found by the first VM that asks again, whose word wakes the others.
WAIT_PER_WATCHER_MS = 1_000
LEAST_WAIT_MS = 6_000
MOST_WAIT_MS = 20_000


def local_report_interval_ms(local_peers: int) -> int:
    """Return the time between words to a data centre with so many other VMs."""
    return max(NEAR_EVERY_MS, NEAR_EVERY_PER_VM_MS * local_peers)


def remote_report_interval_ms(vms: int, *, just_started: bool = False) -> int:
    """Return the time between words to each other data centre, in a fleet of so many VMs.

    :param just_started: the VM has just started and is to be heard soon.
    """
    if just_started:
        return YOUNG_OUTSIDE_EVERY_MS
    return max(OUTSIDE_EVERY_MS, min(MOST_OUTSIDE_EVERY_MS, OUTSIDE_EVERY_PER_VM_MS * vms))


def jittered_interval_ms(every_ms: int, rng: random.Random) -> float:
    """Return the time until the next word to other data centres, about the usual one."""
    return every_ms * rng.uniform(1 - OUT_OF_STEP, 1 + OUT_OF_STEP)


def peer_timeout_ms(*, local_peers: int, vms: int) -> int:
    """Return after which silence any VM counts as gone; its words may come by way of another."""
    return max(MIN_PEER_TIMEOUT_MS, HEARD_TIMES * (local_report_interval_ms(local_peers) + remote_report_interval_ms(vms)))


def isolation_timeout_ms(local_peers: int) -> int:
    """Return after which time without any word at all a VM takes itself for cut off."""
    return watcher_timeout_ms(local_peers)


def quota_peer_timeout_ms(*, local_peers: int, vms: int) -> int:
    """Return after which silence another VM counts as spending out of a part of its own.

    In a fleet of hundreds a VM counts as gone only after most of a quota's window. Until then
    both sides of a cut would spend whole rates.
    """
    words_ms = local_report_interval_ms(local_peers) + remote_report_interval_ms(vms)
    return min(peer_timeout_ms(local_peers=local_peers, vms=vms), max(MIN_QUOTA_PEER_TIMEOUT_MS, ALONE_TIMES * words_ms))


def watcher_timeout_ms(local_peers: int) -> int:
    """Return after which silence a watcher of the data centre is not relied on any more."""
    return max(LEAST_WATCHER_HEARD_MS, HEARD_TIMES * local_report_interval_ms(local_peers))


def watch_pause_ms(watchers: int) -> int:
    """Return how long a watch rests after a call that brought changes."""
    return max(REST_MS, min(MOST_REST_MS, REST_PER_WATCHER_MS * watchers))


def watch_poll_timeout_ms(watchers: int) -> int:
    """Return how long one call of a watch waits at the store."""
    return max(LEAST_WAIT_MS, min(MOST_WAIT_MS, WAIT_PER_WATCHER_MS * watchers))
