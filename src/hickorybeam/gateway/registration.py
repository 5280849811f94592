"""This VM's entry in the store, kept under a lease across outages of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import msgspec
from absl import logging

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.store import Delete, Put

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.model.routing import GatewayVm
    from hickorybeam.store import Platform

__all__ = ("Registration",)

# A registration only announces that a VM exists; its status reports show that it is live. So the
# lease can be long, which saves calls to the store.
LEASE_MS = 12_000
RENEW_INTERVAL_MS = 4_000
RETRY_INTERVAL_MS = 400
WITHDRAW_TIMEOUT_S = 1.0


class Registration:
    """Creates and renews this VM's entry in the store.

    :param key: the entry's key.
    """

    def __init__(self, store: Platform, clock: Clock, key: str) -> None:
        self.key = key
        self._store = store
        self._clock = clock
        self._lease = 0
        self._leaving = False
        self._expired = anyio.Event()

    @property
    def held(self) -> bool:
        """Whether the entry exists, as far as this VM knows."""
        return self._lease != 0

    def entry_deleted(self) -> None:
        """Register again at once after the entry was deleted, unless this VM shuts down."""
        if not self._leaving:
            self._lease = 0
            self._expired.set()

    async def keep_registered(self, vm: GatewayVm) -> None:
        """Register and renew the lease until withdrawn."""
        while not self._leaving:
            interval_ms = RENEW_INTERVAL_MS
            try:
                await self._renew(vm)
            except GatewayError as exc:
                if exc.kind is ErrorKind.LEASE_LOST:
                    logging.info("registration lease expired, registering again")
                    self._lease = 0
                interval_ms = RETRY_INTERVAL_MS
            self._expired = anyio.Event()
            with anyio.move_on_after(interval_ms / MS_PER_SECOND):
                await self._expired.wait()

    async def _renew(self, vm: GatewayVm) -> None:
        if self._lease:
            await self._store.keep_alive(self._lease)
            return
        lease = await self._store.grant(LEASE_MS)
        await self._store.txn((), (Put(self.key, msgspec.json.encode(vm), lease),))
        self._lease = lease

    async def withdraw(self) -> None:
        """Delete the entry; if the store is unreachable, it expires with its lease."""
        self._leaving = True
        try:
            with anyio.move_on_after(WITHDRAW_TIMEOUT_S):
                await self._store.txn((), (Delete(self.key),))
        except GatewayError as exc:
            logging.info("registration not deleted, it expires with its lease: %s", exc)
