"""Admit or refuse a caller's request by configuration, route, key and rate."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.gateway.targets import AdmittedRequest
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

# A response has to be sent before the caller stops waiting for it.
RESPONSE_MARGIN_MS = 25
# No longer wait is needed while this VM shuts down: the next connection goes to another one.
DRAINING_RETRY_AFTER_MS = 50
# A server has ten urgencies, 0 to 9; so many ranks of routes fit within one rank of accounts.
ROUTE_RANKS_PER_ACCOUNT_RANK = 3
LOWEST_URGENCY = 9


class Admission:
    """Admits or refuses requests before anything is sent.

    ``draining`` refuses all. ``ends_ms`` is when this process ends, ``None`` unless it shuts down:
    a request whose deadline lies after that is refused as not run. A stream admitted late in the
    grace period would be cut in its middle.
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
        """Admit a request.

        :raises GatewayError: the request is refused.
        """
        route, terms, deadline_ms = self._identify(call)
        cost = self._charge(call, terms)
        return AdmittedRequest(
            call=call,
            route=route,
            service=pick_target(route, self._rng.random()),
            account=terms.name if terms else None,
            urgency=urgency_of(route, terms),
            deadline_ms=deadline_ms,
            resume_after=call.resume_after,
            cost=cost,
            account_homes=terms.homes if terms else frozenset(),
        )

    def check_head(self, call: RelayCall) -> None:
        """Check a request before its body is read, and charge nothing.

        :raises GatewayError: the request would be refused.
        """
        if self._routing_state.config is None:
            # It may have come by the time at which the body has.
            return
        _, terms, _ = self._identify(call)
        if terms is None:
            return
        wait_ms = self._quota.wait_ms(terms.name, cost_of(call, terms), self._clock.now())
        if wait_ms:
            raise GatewayError(ErrorKind.RATE_LIMITED, retry_after_ms=wait_ms)

    def _identify(self, call: RelayCall) -> tuple[Route, AccountTerms | None, int]:
        """Return a request's route, its account's terms if it needs any, and its deadline.

        :raises GatewayError: the request is refused.
        """
        config = self._routing_state.config
        if config is None:
            raise GatewayError(
                ErrorKind.NOT_READY, retry_after_ms=self._config_retry_after_ms(call)
            )
        if self.draining:
            raise GatewayError(ErrorKind.DRAINING, retry_after_ms=DRAINING_RETRY_AFTER_MS)
        route = self._routing_state.route_table.match(call.host, call.path)
        if route is None:
            raise GatewayError(ErrorKind.ROUTE_UNKNOWN)
        needs_key = config.with_accounts and not route.public
        terms = self._account_terms(call) if needs_key else None
        deadline_ms = min(call.deadline_ms, call.arrived_ms + route.timeout_ms) - RESPONSE_MARGIN_MS
        if self.ends_ms is not None and deadline_ms > self.ends_ms:
            raise GatewayError(ErrorKind.DRAINING, retry_after_ms=DRAINING_RETRY_AFTER_MS)
        if not call.request_id:
            # Nothing would show that a response is this request's, and servers reject it.
            raise GatewayError(ErrorKind.BAD_REQUEST, "it has no id, or several")
        return route, terms, deadline_ms

    def _config_retry_after_ms(self, call: RelayCall) -> int:
        """Return the retry-after while this VM has no configuration yet."""
        now = self._clock.now()
        return outage_retry_after_ms(
            outage_ms=now - self._started_ms, recovery_ms=0, left_ms=call.deadline_ms - now
        )

    def _account_terms(self, call: RelayCall) -> AccountTerms:
        """Return the terms of the account that a request's key belongs to."""
        config = self._routing_state.config
        if config is None or call.key is None:
            raise GatewayError(ErrorKind.KEY_MISSING)
        name = config.keys.get(key_digest(call.key))
        if name is None:
            raise GatewayError(ErrorKind.KEY_UNKNOWN)
        return config.accounts[name]

    def _charge(self, call: RelayCall, terms: AccountTerms | None) -> float:
        """Charge a request's cost to its account's quota and return the cost.

        :raises GatewayError: the quota is used up.
        """
        if terms is None:
            return 0.0
        cost = cost_of(call, terms)
        wait_ms = self._quota.take(terms.name, cost, self._clock.now())
        if wait_ms is not None:
            raise GatewayError(ErrorKind.RATE_LIMITED, retry_after_ms=wait_ms)
        return cost


def cost_of(call: RelayCall, terms: AccountTerms) -> float:
    """Return what a request costs its account, in the account's unit."""
    if terms.unit is Unit.REQUESTS:
        return 1.0
    if not call.tokens_told:
        return float(terms.tokens_when_untold)
    return float(call.prompt_tokens + call.output_tokens)


def urgency_of(route: Route, terms: AccountTerms | None) -> int:
    """Return a request's urgency at a server, 0 first; its account's rank precedes its route's."""
    if terms is None or terms.rank is None:
        return min(LOWEST_URGENCY, route.rank)
    return min(
        LOWEST_URGENCY,
        ROUTE_RANKS_PER_ACCOUNT_RANK * terms.rank
        + min(ROUTE_RANKS_PER_ACCOUNT_RANK - 1, route.rank),
    )
