"""Finding VMs that the view does not have: by the platform's list and the seeds."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio
from absl import logging

from hickorybeam.errors import GatewayError
from hickorybeam.model import EntryVm, VmId
from hickorybeam.peers.connections import Address
from hickorybeam.peers.heartbeat import WHO, WhoReply, WhoRequest

if TYPE_CHECKING:
    from hickorybeam.peers.gossip import GossipState
    from hickorybeam.peers.partners import Partners
    from hickorybeam.peers.registry import Registry
    from hickorybeam.ports import Peers

__all__ = ("Discovery", "new_incarnation")


def new_incarnation(wall_ms: int, *, after: str = "") -> str:
    """Return an incarnation that sorts after those of earlier lives.

    :param after: an incarnation of this VM's name that was seen; clocks of machines differ, and
        a life that sorts before its predecessor would be taken for the dead one.
    """
    start = wall_ms
    if after:
        start = max(start, int(after.split("-")[0], 16) + 1)
    return f"{start:012x}-{random.getrandbits(32):08x}"


class Discovery:
    """Asks addresses who listens there.

    :param seeds: ``host:port`` of VMs to try besides the list.
    """

    def __init__(
        self,
        *,
        peers: Peers,
        registry: Registry,
        gossip: GossipState,
        partners: Partners,
        seeds: tuple[str, ...],
    ) -> None:
        self._peers = peers
        self._registry = registry
        self._gossip = gossip
        self._partners = partners
        self._seeds = tuple(map(_seed, seeds))
        self._listed: tuple[EntryVm, ...] = ()
        self._random = random.Random(gossip.own_vm.id.name)

    async def read_registry(self) -> None:
        """Read the platform's list, or keep the last one."""
        try:
            self._listed = await self._registry.read()
        except GatewayError as exc:
            logging.info("the list of VMs cannot be read: %s", exc.kind.value)

    async def find_peers(self, count: int) -> list[WhoReply]:
        """Ask some VMs that the view lacks who they are, at once.

        :param count: how many to ask at most.
        """
        here: list[WhoReply] = []
        async with anyio.create_task_group() as tg:
            for vm in self._to_try(count):
                tg.start_soon(self._who, vm, here)
        return [answer for answer in here if answer.me.vm.id.name != self._gossip.own_vm.id.name]

    def latest_own_incarnation(self, here: list[WhoReply]) -> str:
        """Return the latest incarnation of this VM's name that the list or a peer knew."""
        name = self._gossip.own_vm.id.name
        known = [vm.id.incarnation for vm in self._listed if vm.id.name == name]
        known += [answer.you.vm.id.incarnation for answer in here if answer.you is not None]
        return max(known, default="")

    def _to_try(self, count: int) -> list[EntryVm]:
        """Return VMs that are not in the view, own data centre first, then seeds."""
        me = self._gossip.own_vm
        unknown = [
            vm
            for vm in self._listed
            if vm.id.name != me.id.name and not self._partners.is_live(vm.id.name)
        ]
        self._random.shuffle(unknown)
        unknown.sort(key=lambda vm: vm.data_centre != me.data_centre)
        seeds = self._random.sample(self._seeds, len(self._seeds))
        half = count // 2
        return unknown[: count - min(half, len(seeds))] + seeds[: max(half, count - len(unknown))]

    async def _who(self, vm: EntryVm, here: list[WhoReply]) -> None:
        # Whoever listens there may answer: the list may still name an earlier life.
        anyone = replace(vm, id=VmId(vm.id.name, ""))
        try:
            here.append(await self._peers.ask(anyone, WHO, WhoRequest(self._gossip.own_vm.id.name)))
        except GatewayError:
            return


def _seed(text: str) -> EntryVm:
    address = Address.parse(text)
    return EntryVm(
        id=VmId("", ""),
        region="",
        data_centre="",
        host=address.host,
        http_port=0,
        peer_port=address.port,
    )
