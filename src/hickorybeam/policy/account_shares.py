"""Share a service's scarce server time between accounts by their weights.

While a service has more callers than its servers bear, an account that sends several times its
usual would take the room of all others, each of its requests being as good as theirs. Here every
account has a virtual time, which advances by cost / weight with each of its requests (start-time
fair queueing). Requests are served in the order of these times: an account that has used more than
its share waits behind the others, one below its share goes first, and what it leaves unused is
shared by the rest.

How far an account is ahead of the service's own virtual time is its lead. Leads are all that a
successor needs to go on where another VM stopped.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hickorybeam.policy.server_speed import ServerSpeed

__all__ = ("AccountShares", "server_time_ms")

MIN_WEIGHT = 1e-6


def server_time_ms(
    speed: ServerSpeed, *, slots: int, prompt_tokens: int, output_tokens: int
) -> float:
    """Return the time that a request takes of one server, in ms.

    Its prompt is prefilled by itself; its tokens are decoded together with those of other slots.
    """
    decode_ms = speed.decode_ms(output_tokens) / max(1, slots)
    return max(1.0, speed.prefill_ms(prompt_tokens) + decode_ms)


class AccountShares:
    """Virtual times of the accounts at one service; costs are in ms of server time.

    ``now`` is the service's own virtual time: the turn of the last request that got a slot.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._finish: dict[str, float] = {}

    def turn(self, account: str, lead_elsewhere: float = 0.0) -> float:
        """Return the virtual time at which the account's next request is due.

        :param lead_elsewhere: its lead in other regions.
        """
        return max(self._finish.get(account, 0.0), self.now + lead_elsewhere)

    def charge(self, account: str, *, weight: float, cost_ms: float) -> None:
        """Charge a request that waits for its turn or got a slot."""
        start = max(self.now, self._finish.get(account, 0.0))
        self._finish[account] = start + cost_ms / max(MIN_WEIGHT, weight)

    def refund(self, account: str, *, weight: float, cost_ms: float) -> None:
        """Take back the charge of a request that got no slot."""
        if account in self._finish:
            self._finish[account] -= cost_ms / max(MIN_WEIGHT, weight)

    def advance(self, turn: float) -> None:
        """Advance the service's virtual time to the turn of a request that gets a slot."""
        if turn > self.now:
            self.now = turn
            self._finish = {name: it for name, it in self._finish.items() if it > turn}

    def leads(self, most: int) -> dict[str, float]:
        """Return the largest leads by account, in ms, at most so many."""
        ahead = sorted(((it - self.now, name) for name, it in self._finish.items()), reverse=True)
        return {name: round(lead, 1) for lead, name in ahead[:most] if lead > 0}

    def replace(self, leads: Mapping[str, float]) -> None:
        """Take over the leads that another VM's requests led to."""
        self._finish = {name: self.now + lead for name, lead in leads.items() if lead > 0}

    def settle(self) -> None:
        """Forget all leads; whoever waits still comes before those who arrive later."""
        self.now = max(self._finish.values(), default=self.now)
        self._finish.clear()
