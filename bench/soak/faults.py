"""Random faults from a seed, one after another and now and then two together."""

from __future__ import annotations

import random
import signal
from typing import TYPE_CHECKING

import anyio

from hickorybeam.standins.http import Fault, FaultKind
from hickorybeam.standins.relay import LinkState

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bench.soak.fleet import Process, SoakFleet
    from bench.soak.log import Log

__all__ = ("Faults",)

QUIET_S = (1.0, 4.0)
LASTING_S = (2.0, 14.0)
MAX_TOKENS_BEFORE = 20


class Faults:
    """Does damage and mends it again.

    :param only: the name of the only fault to do; empty for all.
    """

    def __init__(self, fleet: SoakFleet, log: Log, *, seed: int, only: str = "") -> None:
        self._fleet = fleet
        self._log = log
        self._rng = random.Random(seed)
        kinds: tuple[Callable[[], Awaitable[None]], ...] = (
            self.kill,
            self.kill,
            self.pause,
            self.pause,
            self.replace,
            self.cut_region,
            self.silent_region,
            self.stale_connections,
            self.platform_out,
            self.platform_lost_answers,
            self.watches_silent,
            self.spoil_engine,
        )
        self._kinds = [kind for kind in kinds if only in ("", kind.__name__)]

    async def run(self, until_ms: float) -> None:
        """Do one fault after another until the time, with some overlap."""
        async with anyio.create_task_group() as tg:
            while self._log.now() < until_ms:
                kind = self._rng.choice(self._kinds)
                self._log.write("fault", name=kind.__name__)
                tg.start_soon(kind)
                await anyio.sleep(self._rng.uniform(*QUIET_S))
        for proc in self._fleet.processes.values():
            proc.signal(signal.SIGCONT)
            if not proc.alive:
                proc.start()
        await self._fleet.links.set_all(LinkState.PASS)
        self._fleet.platform.app.link("").set_out(False)

    def _some(self) -> Process:
        return self._rng.choice(list(self._fleet.processes.values()))

    def _lasting(self) -> float:
        return self._rng.uniform(*LASTING_S)

    async def kill(self) -> None:
        """A VM dies and comes back at the same address."""
        proc, lasting = self._some(), self._lasting()
        self._log.write("kill", vm=proc.cfg.vm.name)
        proc.signal(signal.SIGKILL)
        await anyio.sleep(lasting)
        if not proc.alive:
            proc.start()

    async def pause(self) -> None:
        """A VM is frozen past its leases and goes on."""
        proc, lasting = self._some(), self._lasting()
        self._log.write("pause", vm=proc.cfg.vm.name, s=lasting)
        proc.signal(signal.SIGSTOP)
        await anyio.sleep(lasting)
        proc.signal(signal.SIGCONT)

    async def replace(self) -> None:
        """A VM is shut down gracefully and a new one starts."""
        proc = self._some()
        if proc.paused or not proc.alive or proc.child is None:
            return
        child = proc.child
        self._log.write("terminate", vm=proc.cfg.vm.name)
        proc.signal(signal.SIGTERM)
        with anyio.move_on_after(30):
            while child.poll() is None:
                await anyio.sleep(0.1)
        self._log.write("terminated", vm=proc.cfg.vm.name, code=child.poll())
        if not proc.alive:
            proc.start()

    async def cut_region(self) -> None:
        """A region loses the others and the platform."""
        await self._region(LinkState.CUT)

    async def silent_region(self) -> None:
        """A region's links pass nothing and close nothing."""
        await self._region(LinkState.SILENT)

    async def _region(self, state: LinkState) -> None:
        region, lasting = self._rng.choice(self._fleet.deployment.regions), self._lasting()
        self._log.write("cut", region=region, state=state.value, s=lasting)
        await self._fleet.links.set_region(region, state)
        await anyio.sleep(lasting)
        await self._fleet.links.set_region(region, LinkState.PASS)
        self._log.write("healed", region=region)

    async def stale_connections(self) -> None:
        """Connections open now go silent for good; new ones work."""
        for link in self._fleet.links.all():
            await link.drop_bytes_of_open()

    async def platform_out(self) -> None:
        """The platform answers every call with an error."""
        lasting = self._lasting()
        self._log.write("platform_out", s=lasting)
        self._fleet.platform.app.link("").set_out(True)
        await anyio.sleep(lasting)
        self._fleet.platform.app.link("").set_out(False)
        self._log.write("platform_back")

    async def platform_lost_answers(self) -> None:
        """Some writes take effect and their answers are lost."""
        self._fleet.platform.app.link("").lose_answers += self._rng.randrange(1, 6)

    async def spoil_engine(self) -> None:
        """An engine breaks its next streams off, and some of them end as if they were complete."""
        engine = self._rng.choice(list(self._fleet.backends.engines.values()))
        kind = self._rng.choice((FaultKind.CUT, FaultKind.NO_END, FaultKind.PART))
        after, count = self._rng.randrange(MAX_TOKENS_BEFORE), self._rng.randrange(1, 4)
        engine.app.faults.set(Fault(kind=kind, after=after, count=count))

    async def watches_silent(self) -> None:
        """Every watch goes silent."""
        self._fleet.platform.app.link("").silence_watches()
