"""The lease that lets one VM of a data centre send orders, with its fencing token."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import msgspec

from hickorybeam.control.lease_term import LeaseTerm, send_from, send_until
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.store import Compare, Put

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.store import Platform

__all__ = ("ControlLease",)


@dataclass(frozen=True, slots=True)
class _Holder:
    """Who holds the lease, as written to the platform."""

    vm: str
    lease: int
    fencing: int


class ControlLease:
    """Takes, renews and gives up the lease.

    :param data_centre: whose engines it is about.
    :param vm: this VM's name, for operators who read the key.
    :param order_timeout_ms: the longest an order of any holder can take.
    """

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        *,
        data_centre: str,
        vm: str,
        lease_ms: int,
        order_timeout_ms: int,
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._holder_key = f"control/{data_centre}/holder"
        self._fencing_key = f"control/{data_centre}/fencing"
        self._vm = vm
        self._lease_ms = lease_ms
        self._order_timeout_ms = order_timeout_ms

    async def take(self, *, above: int = 0) -> LeaseTerm | None:
        """Take the lease if nobody holds it.

        :param above: the highest token that an engine has named. It is above the platform's
            own only when the platform lost its data; engines would then refuse all orders.
        :return: ``None`` when somebody holds it.
        """
        if (await self._platform.read(self._holder_key)).items:
            return None
        fencing, revision = await self._last_fencing()
        asked_at = self._clock.now()
        lease = await self._platform.grant(self._lease_ms)
        holder = _Holder(self._vm, lease, max(fencing, above) + 1)
        try:
            done = await self._platform.txn(
                (Compare(self._holder_key, 0), Compare(self._fencing_key, revision)),
                (
                    Put(self._holder_key, msgspec.json.encode(holder), lease),
                    Put(self._fencing_key, msgspec.json.encode(holder.fencing)),
                ),
            )
            taken = done.done
        except GatewayError as exc:
            if exc.kind is not ErrorKind.PLATFORM_UNKNOWN:
                raise
            taken = await self._is_holder(holder)
        if not taken:
            await self.give_up(lease)
            return None
        return LeaseTerm(
            lease=lease,
            fencing=holder.fencing,
            send_until_ms=send_until(asked_at, self._lease_ms),
            send_from_ms=send_from(self._clock.now(), self._order_timeout_ms),
        )

    async def renew(self, turn: LeaseTerm) -> LeaseTerm | None:
        """Renew the lease; :return: ``None`` when it has lapsed."""
        asked_at = self._clock.now()
        try:
            ttl_ms = await self._platform.keep_alive(turn.lease)
        except GatewayError as exc:
            if exc.kind is ErrorKind.LEASE_LOST:
                return None
            # Without an answer the turn stays as long as its old deadline.
            return turn if self._clock.now() < turn.send_until_ms else None
        return replace(turn, send_until_ms=send_until(asked_at, min(ttl_ms, self._lease_ms)))

    async def give_up(self, lease: int) -> None:
        """End a lease; one that can't be ended lapses by itself."""
        try:
            await self._platform.revoke(lease)
        except GatewayError:
            return

    async def _last_fencing(self) -> tuple[int, int]:
        found = await self._platform.read(self._fencing_key)
        if not found.items:
            return 0, 0
        return msgspec.json.decode(found.items[0].value, type=int), found.items[0].mod_revision

    async def _is_holder(self, mine: _Holder) -> bool:
        found = await self._platform.read(self._holder_key)
        return bool(found.items) and (
            msgspec.json.decode(found.items[0].value, type=_Holder) == mine
        )
