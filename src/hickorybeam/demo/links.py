"""The network between regions and to the platform: a relay for each way that can be cut."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from hickorybeam.settings import RouteSettings
from hickorybeam.standins import relay

if TYPE_CHECKING:
    from contextlib import AsyncExitStack

    from hickorybeam.demo.deployment import Deployment
    from hickorybeam.settings import Settings
    from hickorybeam.standins.relay import Link, LinkState

__all__ = ("Links", "start_links")

PLATFORM = "platform"
HOST = "127.0.0.1"


@dataclass(slots=True)
class Links:
    """Relays by the region that dials and what it dials, an entry VM or the platform."""

    deployment: Deployment
    relays: dict[tuple[str, str], Link] = field(default_factory=dict)

    def all(self) -> tuple[Link, ...]:
        """Return every relay."""
        return tuple(self.relays.values())

    async def set_all(self, state: LinkState) -> None:
        """Switch every relay."""
        for link in self.all():
            await link.set(state)

    async def set_region(self, region: str, state: LinkState) -> None:
        """Switch what joins a region to the other regions and to the platform."""
        own = {cfg.vm.name for cfg in self.deployment.vms if cfg.vm.region == region}
        for (near, far), link in self.relays.items():
            if near == region or far in own:
                await link.set(state)

    def routed(self, cfg: Settings) -> Settings:
        """Return settings of an entry VM that reaches the others through the relays."""
        region = cfg.vm.region
        routes = tuple(
            RouteSettings(
                address=f"{other.vm.host}:{other.vm.peer_port}",
                via=self.relays[region, other.vm.name].address,
            )
            for other in self.deployment.vms
            if other.vm.region != region
        )
        urls = (f"http://{self.relays[region, PLATFORM].address}",)
        return replace(
            cfg,
            peers=replace(cfg.peers, routes=routes),
            platform=replace(cfg.platform, urls=urls),
        )


async def start_links(
    deployment: Deployment, platform_port: int, stack: AsyncExitStack, *, delay_ms: float = 0.0
) -> Links:
    """Start the relays of a deployment.

    :param delay_ms: one-way delay between regions.
    """
    links = Links(deployment)
    for region in deployment.regions:
        link = await stack.enter_async_context(relay.serve(HOST, platform_port))
        links.relays[region, PLATFORM] = link
        for cfg in deployment.vms:
            if cfg.vm.region != region:
                far = relay.serve(HOST, cfg.vm.peer_port, delay_ms=delay_ms)
                links.relays[region, cfg.vm.name] = await stack.enter_async_context(far)
    return links
