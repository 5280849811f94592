"""The lease that lets one VM of a data centre send orders, with its fencing token."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import msgspec

from hickorybeam.control.lease_term import LeaseTerm, send_from, send_until
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.store import Compare, Put
from hickorybeam.store.values import json_value

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.store import Platform

__all__ = ("ControlLease",)


@dataclass(frozen=True, slots=True)
class _Holder:
    """The holder of the lease, as stored at the platform."""

    vm: str
    lease: int
    fencing: int


class ControlLease:
    """Acquires, renews and releases the lease.

    :param data_centre: the data centre whose engines the lease covers.
    :param vm: this VM's name, stored for operators who read the key.
    :param order_timeout_ms: upper limit of the duration of any holder's order.
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

    async def acquire(self, *, seen_fencing: int = 0) -> LeaseTerm | None:
        """Acquire the lease if it is free.

        :param seen_fencing: the highest token that an engine has reported. It is above the
            platform's only if the platform lost data; engines would then refuse all orders.
        :return: ``None`` if another VM holds it.
        """
        if (await self._platform.read(self._holder_key)).items:
            return None
        fencing, revision = await self._read_fencing()
        asked_at_ms = self._clock.now()
        lease_id = await self._platform.grant(self._lease_ms)
        holder = _Holder(self._vm, lease_id, max(fencing, seen_fencing) + 1)
        try:
            result = await self._platform.txn(
                (Compare(self._holder_key, 0), Compare(self._fencing_key, revision)),
                (
                    Put(self._holder_key, msgspec.json.encode(holder), lease_id),
                    Put(self._fencing_key, msgspec.json.encode(holder.fencing)),
                ),
            )
            acquired = result.done
        except GatewayError as exc:
            if exc.kind is not ErrorKind.PLATFORM_UNKNOWN:
                raise
            acquired = await self._is_lease_holder(holder)
        if not acquired:
            await self.release(lease_id)
            return None
        return LeaseTerm(
            lease_id=lease_id,
            fencing=holder.fencing,
            send_until_ms=send_until(asked_at_ms, self._lease_ms),
            send_from_ms=send_from(self._clock.now(), self._order_timeout_ms),
        )

    async def renew(self, term: LeaseTerm) -> LeaseTerm | None:
        """Renew the lease; return ``None`` if it has expired."""
        asked_at_ms = self._clock.now()
        try:
            ttl_ms = await self._platform.keep_alive(term.lease_id)
        except GatewayError as exc:
            if exc.kind is ErrorKind.LEASE_LOST:
                return None
            # Without a response the term stays valid until its old deadline.
            return term if self._clock.now() < term.send_until_ms else None
        return replace(term, send_until_ms=send_until(asked_at_ms, min(ttl_ms, self._lease_ms)))

    async def release(self, lease_id: int) -> None:
        """End a lease; if that fails, it expires by itself."""
        try:
            await self._platform.revoke(lease_id)
        except GatewayError:
            return

    async def _read_fencing(self) -> tuple[int, int]:
        found = await self._platform.read(self._fencing_key)
        if not found.items:
            return 0, 0
        return json_value(found.items[0], int), found.items[0].mod_revision

    async def _is_lease_holder(self, expected: _Holder) -> bool:
        found = await self._platform.read(self._holder_key)
        return bool(found.items) and json_value(found.items[0], _Holder) == expected
