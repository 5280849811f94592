"""The load profiles that a deployment chooses between.

``cheap`` favours cost and the worst-served account: work goes to another region only when it
would otherwise wait long or be refused, and waits may be long so that few requests are refused.
``fast`` favours tail latency: work goes to another region as soon as that is faster, and a job
that cannot start soon is refused early so that its caller can go elsewhere.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("CHEAP", "FAST", "Profile", "profile_named")


@dataclass(frozen=True, slots=True, kw_only=True)
class Profile:
    """Limits and margins of one profile.

    :param name: as in the settings.
    :param max_wait_ms: limit on the expected wait; the settings may lower it.
    :param spill_margin_ms: how much faster another region must be before work goes there.
    :param stay_margin_ms: how much faster it must remain for work to keep going there.
    :param price_penalty_ms: wait that is accepted to avoid a region of twice this region's price.
    """

    name: str
    max_wait_ms: int
    spill_margin_ms: int
    stay_margin_ms: int
    price_penalty_ms: int


CHEAP = Profile(
    name="cheap",
    max_wait_ms=10_000,
    spill_margin_ms=1_000,
    stay_margin_ms=400,
    price_penalty_ms=2_000,
)
FAST = Profile(
    name="fast",
    max_wait_ms=4_000,
    spill_margin_ms=100,
    stay_margin_ms=20,
    price_penalty_ms=0,
)


def profile_named(name: str) -> Profile:
    """Return the profile of this name in the settings; an unknown one is ``cheap``."""
    return FAST if name == FAST.name else CHEAP
