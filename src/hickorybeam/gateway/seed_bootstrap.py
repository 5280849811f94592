"""Fetch the store's entries from another VM while the store can't be read."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

from hickorybeam.errors import GatewayError
from hickorybeam.gateway.changes import decode_entries
from hickorybeam.sockets import split_address
from hickorybeam.untrusted import InvalidBytesError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.vm_client import VmClient
    from hickorybeam.http1.pool import Address
    from hickorybeam.store import KeyValue

__all__ = ("STATE_PATH", "SeedBootstrap")

STATE_PATH = "/state"
# The store is read meanwhile, and usually answers by then.
FIRST_FETCH_MS = 600
FETCH_INTERVAL_MS = 500


class SeedBootstrap:
    """Asks the seeds for their entries while this VM has no configuration.

    Otherwise a VM that starts during an outage of the store would refuse all requests until the
    store is back, although the VMs around it serve.

    :param own_host: a seed with this address is passed over.
    :param is_needed: returns whether this VM has no configuration yet.
    :param apply: applies the entries that a seed has sent.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        vm_client: VmClient,
        own_host: str,
        seeds: tuple[str, ...],
        is_needed: Callable[[], bool],
        apply: Callable[[list[KeyValue]], None],
    ) -> None:
        self.seeds = seeds
        # Called with the address of a VM before its entries are applied here.
        self.before_apply: Callable[[Address], Awaitable[None]] | None = None
        self._clock = clock
        self._vm_client = vm_client
        self._own_host = own_host
        self._is_needed = is_needed
        self._apply = apply

    async def run(self) -> None:
        """Ask the seeds in turn until one has sent a configuration."""
        await self._clock.sleep(FIRST_FETCH_MS)
        while self._is_needed():
            for seed in self.seeds:
                if self._is_needed():
                    await self._fetch(seed)
            await self._clock.sleep(FETCH_INTERVAL_MS)

    async def _fetch(self, seed: str) -> None:
        address = split_address(seed)
        if address[0] == self._own_host:
            return
        try:
            items = decode_entries(await self._vm_client.get(address, STATE_PATH))
        except (GatewayError, InvalidBytesError) as exc:
            logging.info("cannot get entries from seed %s: %r", seed, exc)
            return
        logging.info("got %d entries from seed %s", len(items), seed)
        if self.before_apply is not None:
            await self.before_apply(address)
        if self._is_needed():
            self._apply(items)
