"""Finding VMs that the view lacks, by the platform's VM registry and the seeds."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio
from absl import logging

from hickorybeam.errors import GatewayError
from hickorybeam.model import EntryVm, VmId
from hickorybeam.peers.channel import Address
from hickorybeam.peers.heartbeat import WHO, WhoReply, WhoRequest

if TYPE_CHECKING:
    from hickorybeam.peers.gossip import GossipState
    from hickorybeam.peers.partners import Partners
    from hickorybeam.peers.registry import Registry
    from hickorybeam.ports import Peers

__all__ = ("Discovery", "new_incarnation")


def new_incarnation(wall_ms: int, *, after: str = "") -> str:
    """Return an incarnation that sorts after earlier ones.

    :param after: a known incarnation of this VM's name. The wall clocks of machines differ, and an
        incarnation that sorts before its predecessor would lose against the dead one's record.
    """
    start = wall_ms
    if after:
        start = max(start, int(after.split("-")[0], 16) + 1)
    return f"{start:012x}-{random.getrandbits(32):08x}"


class Discovery:
    """Asks the addresses of unknown VMs which VM listens there.

    :param seeds: ``host:port`` of VMs to try besides those in the registry.
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
        self._seeds = tuple(map(_seed_vm, seeds))
        self._registered: tuple[EntryVm, ...] = ()
        self._random = random.Random(gossip.own_vm.id.name)

    async def read_registry(self) -> None:
        """Read the registry, or keep the entries last read."""
        try:
            self._registered = await self._registry.read()
        except GatewayError as exc:
            logging.info("VM registry not read, the entries last read are used: %s", exc.kind.value)

    async def find_peers(self, count: int) -> list[WhoReply]:
        """Ask VMs that the view lacks who they are, concurrently.

        :param count: maximum number of VMs asked.
        """
        replies: list[WhoReply] = []
        async with anyio.create_task_group() as tg:
            for vm in self._candidates(count):
                tg.start_soon(self._ask_who, vm, replies)
        return [reply for reply in replies if reply.me.vm.id.name != self._gossip.own_vm.id.name]

    def latest_own_incarnation(self, replies: list[WhoReply]) -> str:
        """Return the latest incarnation of this VM's name in the registry or known to a peer."""
        name = self._gossip.own_vm.id.name
        known = [vm.id.incarnation for vm in self._registered if vm.id.name == name]
        known += [reply.you.vm.id.incarnation for reply in replies if reply.you is not None]
        return max(known, default="")

    def _candidates(self, count: int) -> list[EntryVm]:
        """Return registered VMs that are not in the view, own data centre first, then seeds."""
        own_vm = self._gossip.own_vm
        unknown = [
            vm
            for vm in self._registered
            if vm.id.name != own_vm.id.name and not self._partners.is_live(vm.id.name)
        ]
        self._random.shuffle(unknown)
        unknown.sort(key=lambda vm: vm.data_centre != own_vm.data_centre)
        seeds = self._random.sample(self._seeds, len(self._seeds))
        half = count // 2
        return unknown[: count - min(half, len(seeds))] + seeds[: max(half, count - len(unknown))]

    async def _ask_who(self, vm: EntryVm, replies: list[WhoReply]) -> None:
        # Any incarnation may reply: the registry may still hold an earlier one.
        any_incarnation = replace(vm, id=VmId(vm.id.name, ""))
        try:
            replies.append(
                await self._peers.ask(any_incarnation, WHO, WhoRequest(self._gossip.own_vm.id.name))
            )
        except GatewayError:
            return


def _seed_vm(text: str) -> EntryVm:
    address = Address.parse(text)
    return EntryVm(
        id=VmId("", ""),
        region="",
        data_centre="",
        host=address.host,
        http_port=0,
        peer_port=address.port,
    )
