"""The two sets of figures a deployment chooses between.

``cheap`` weighs cost and the worst-served account: work goes to another region only when it
would otherwise wait long or be refused, and waits are long so that few are refused. ``fast``
weighs tail latency: work goes abroad as soon as that is faster, and a job that cannot start
soon is refused early so that its caller can go elsewhere.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("CHEAP", "FAST", "Profile", "profile_named")


@dataclass(frozen=True, slots=True, kw_only=True)
class Profile:
    """Figures of one profile.

    :param name: as in the settings.
    :param max_wait_ms: bound on the forecast wait; the settings may lower it.
    :param spill_margin_ms: how much faster another region must be before work goes there.
    :param keep_margin_ms: how much faster it must stay for work to keep going there.
    :param price_ms: ms of waiting that avoid paying a region's price twice over.
    """

    name: str
    max_wait_ms: int
    spill_margin_ms: int
    keep_margin_ms: int
    price_ms: int


CHEAP = Profile(
    name="cheap",
    max_wait_ms=10_000,
    spill_margin_ms=1_000,
    keep_margin_ms=400,
    price_ms=2_000,
)
FAST = Profile(
    name="fast",
    max_wait_ms=4_000,
    spill_margin_ms=100,
    keep_margin_ms=20,
    price_ms=0,
)


def profile_named(name: str) -> Profile:
    """Return a profile by the name in the settings; an unknown one is ``cheap``."""
    return FAST if name == FAST.name else CHEAP
