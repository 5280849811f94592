"""Whether a caller's request is taken: configuration, route, key and rate."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.gateway.attempt import AdmittedRequest
from hickorybeam.model import key_digest
from hickorybeam.model.routing import Unit
from hickorybeam.policy.retry_after import outage_retry_after_ms
from hickorybeam.policy.route_table import pick_target

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.gateway.routing_state import RoutingState
    from hickorybeam.model.routing import AccountTerms, RelayCall, Route
    from hickorybeam.policy.fleet_quota import FleetQuota

__all__ = ("Admission",)

# An answer has to leave before the caller stops waiting for it.
ANSWER_MARGIN_MS = 25
# A VM that shuts down names no time: the caller's next connection goes to another one.
LEAVING_COME_BACK_MS = 50
# Ranks of routes that fit below one rank of accounts in a server's ten urgencies.
ROUTE_RANKS = 3
LEAST_URGENT = 9


class Admission:
    """Takes requests or refuses them, before anything is sent.

    ``draining`` refuses all. ``ends_ms`` is when this process ends, once it is known: a request
    whose deadline lies after it is refused as not run. Taken, a stream that comes late in the
    grace period would be cut in its middle, by a VM that had known better.
    """

    def __init__(self, *, clock: Clock, routing_state: RoutingState, quota: FleetQuota) -> None:
        self._clock = clock
        self._routing_state = routing_state
        self._quota = quota
        self._rng = random.Random()
        self._started_ms = clock.now()
        self.draining = False
        self.ends_ms: int | None = None

    def admit(self, call: RelayCall) -> AdmittedRequest:
        """Return what was decided about a request.

        :raises GatewayError: it is refused.
        """
        config = self._routing_state.config
        if config is None:
            raise GatewayError(ErrorKind.NOT_READY, retry_after_ms=self._ready_in_ms(call))
        if self.draining:
            raise GatewayError(ErrorKind.DRAINING, retry_after_ms=LEAVING_COME_BACK_MS)
        route = self._routing_state.route_table.match(call.host, call.path)
        if route is None:
            raise GatewayError(ErrorKind.ROUTE_UNKNOWN)
        needs_key = config.with_accounts and not route.public
        terms = self._account(call) if needs_key else None
        deadline = min(call.deadline_ms, call.arrived_ms + route.timeout_ms) - ANSWER_MARGIN_MS
        if self.ends_ms is not None and deadline > self.ends_ms:
            raise GatewayError(ErrorKind.DRAINING, retry_after_ms=LEAVING_COME_BACK_MS)
        cost = self._spend(call, terms)
        return AdmittedRequest(
            call=call,
            route=route,
            service=pick_target(route, self._rng.random()),
            account=terms.name if terms else None,
            urgency=urgency_of(route, terms),
            deadline_ms=deadline,
            resume_after=call.resume_after,
            cost=cost,
        )

    def _ready_in_ms(self, call: RelayCall) -> int:
        """Return when a VM that knows no configuration yet may know one."""
        now = self._clock.now()
        return outage_retry_after_ms(
            outage_ms=now - self._started_ms, recovery_ms=0, left_ms=call.deadline_ms - now
        )

    def _account(self, call: RelayCall) -> AccountTerms:
        config = self._routing_state.config
        if config is None or call.key is None:
            raise GatewayError(ErrorKind.KEY_MISSING)
        name = config.keys.get(key_digest(call.key))
        if name is None:
            raise GatewayError(ErrorKind.KEY_UNKNOWN)
        return config.accounts[name]

    def _spend(self, call: RelayCall, terms: AccountTerms | None) -> float:
        """Take a request's cost from its account's rate, or refuse it."""
        if terms is None:
            return 0.0
        cost = cost_of(call, terms)
        wait = self._quota.take(terms.name, cost, self._clock.now())
        if wait is not None:
            raise GatewayError(ErrorKind.RATE_LIMITED, retry_after_ms=wait)
        return cost


def cost_of(call: RelayCall, terms: AccountTerms) -> float:
    """Return what a request costs its account."""
    if terms.unit is Unit.REQUESTS:
        return 1.0
    if not call.tokens_told:
        return float(terms.tokens_when_untold)
    return float(call.prompt_tokens + call.output_tokens)


def urgency_of(route: Route, terms: AccountTerms | None) -> int:
    """Return how urgent a request is at a server, 0 first; an account's rank goes first."""
    if terms is None or terms.rank is None:
        return min(LEAST_URGENT, route.rank)
    return min(LEAST_URGENT, ROUTE_RANKS * terms.rank + min(ROUTE_RANKS - 1, route.rank))
