"""What the faults of the gateway's soak need of the run that they disturb."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from hickorybeam.demo.platform import Answer
    from hickorybeam.standins.server import ServerStandIn

__all__ = ("SoakTarget",)


class SoakTarget(Protocol):
    """A run of the soak: its VMs, its servers, and the callers that faults need."""

    rng: random.Random
    servers: list[ServerStandIn]

    @property
    def vm_count(self) -> int:
        """How many VMs run."""
        ...

    @property
    def caller_ports(self) -> Sequence[int]:
        """The ports on which VMs take callers' requests."""
        ...

    @property
    def disturbed(self) -> bool:
        """Whether servers fail or VMs start, so that refusals may have other reasons."""
        ...

    async def prompt(self, key: str, wait_ms: int, *, parts: str = "5c1e:30") -> bool:
        """Send a prompt of some parts and one of its own to some VM; return whether it was served.

        :param parts: the shared parts, each with its tokens.
        """
        ...

    async def send(
        self, path: str, key: str, wait_ms: int, body: bytes, *, parts: str = "0a0a:20"
    ) -> Answer:
        """Send a request to some VM; on routes of models as a prompt of some parts."""
        ...

    async def ask_stream(
        self, i: int, key: str, more: tuple[tuple[bytes, bytes], ...] = ()
    ) -> tuple[str, Answer]:
        """Ask a VM for a stream that may be resumed; return the request's id and its answer."""
        ...

    async def restart(self, i: int) -> None:
        """Kill a VM and start it again."""
        ...

    async def store_silent(self) -> None:
        """Let the store answer nothing for a while."""
        ...

    def count(self, outcome: str) -> None:
        """Count what a caller saw."""
        ...

    def broken(self, text: str) -> None:
        """Record a broken promise."""
        ...
