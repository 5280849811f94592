"""This VM's entry in the store, held under a lease through outages of the store."""

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

# A registration only tells who is there at all; whether a VM lives is heard from it. So the
# lease is long, which saves calls.
LEASE_MS = 12_000
RENEW_MS = 4_000
RETRY_MS = 400
WITHDRAW_LIMIT_S = 1.0


class Registration:
    """Keeps an entry in the store.

    :param key: the entry's key.
    """

    def __init__(self, store: Platform, clock: Clock, key: str) -> None:
        self.key = key
        self._store = store
        self._clock = clock
        self._lease = 0
        self._leaving = False
        self._lapsed = anyio.Event()

    @property
    def held(self) -> bool:
        """Whether the entry is there, as far as is known."""
        return self._lease != 0

    def lapsed(self) -> None:
        """Register again at once: the entry is gone."""
        if not self._leaving:
            self._lease = 0
            self._lapsed.set()

    async def hold(self, vm: GatewayVm) -> None:
        """Register and renew until withdrawn."""
        while not self._leaving:
            pause = RENEW_MS
            try:
                await self._renew(vm)
            except GatewayError as exc:
                if exc.kind is ErrorKind.LEASE_LOST:
                    logging.info("registration lapsed, registering again")
                    self._lease = 0
                pause = RETRY_MS
            self._lapsed = anyio.Event()
            with anyio.move_on_after(pause / MS_PER_SECOND):
                await self._lapsed.wait()

    async def _renew(self, vm: GatewayVm) -> None:
        if self._lease:
            await self._store.keep_alive(self._lease)
            return
        lease = await self._store.grant(LEASE_MS)
        await self._store.txn((), (Put(self.key, msgspec.json.encode(vm), lease),))
        self._lease = lease

    async def withdraw(self) -> None:
        """Remove the entry; without the store it lapses with its lease."""
        self._leaving = True
        try:
            with anyio.move_on_after(WITHDRAW_LIMIT_S):
                await self._store.txn((), (Delete(self.key),))
        except GatewayError as exc:
            logging.info("left without the store: %s", exc)
