"""Interfaces of the services towards each other, which tests replace by small fakes.

Every service registers with the kernel under one of the names below and is looked up there; no
service imports another service's module.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar, runtime_checkable

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from hickorybeam.model import (
        BackendServer,
        Call,
        ChangeTicket,
        ConfigState,
        EntryVm,
        LoadReport,
        RegionLoad,
        ResponsePart,
        VmId,
    )

__all__ = (
    "BACKENDS",
    "BUDGET",
    "COLD_HEALTH_CHECKS",
    "CONFIG",
    "CONTROL",
    "DISPATCH",
    "FEED",
    "FLEET",
    "FRONT",
    "MEMBERS",
    "ONCE",
    "PART_BLOCKS",
    "PEERS",
    "PLATFORM",
    "RELAY",
    "BackendClient",
    "Budget",
    "ConfigView",
    "Dispatch",
    "Members",
    "IdempotentCalls",
    "Peers",
    "TicketLog",
    "Topic",
)

Q = TypeVar("Q")
R = TypeVar("R")

PLATFORM = "platform"
CONFIG = "config"
MEMBERS = "members"
PEERS = "peers"
BUDGET = "budget"
BACKENDS = "backends"
DISPATCH = "dispatch"
ONCE = "once"
FRONT = "front"
CONTROL = "control"
FEED = "feed"
FLEET = "fleet"
RELAY = "relay"
COLD_HEALTH_CHECKS = "cold_asking"
PART_BLOCKS = "part_blocks"


@dataclass(frozen=True, slots=True)
class Topic(Generic[Q, R]):
    """One kind of request between VMs: its name and the types of request and reply.

    ``shared_stream`` is for small messages sent often to the same peers: they share a long-lived
    stream, which takes about half the CPU time of separate calls.
    """

    name: str
    request: type[Q]
    reply: type[R]
    shared_stream: bool = False


@runtime_checkable
class ConfigView(Protocol):
    """The configuration in force on this VM (service ``config``)."""

    def current(self) -> ConfigState:
        """Return the state currently in force."""
        ...

    def age_ms(self) -> int:
        """Return the time since this VM last confirmed that its state is up to date."""
        ...

    async def wait_for(self, position: int, *, timeout_ms: int) -> ConfigState:
        """Catch up to a log position, or raise ``CONFIG_BEHIND``."""
        ...

    async def wait_past(self, position: int) -> ConfigState:
        """Wait until the state in force is past a log position."""
        ...

    async def submit(self, ticket: ChangeTicket) -> int:
        """Accept a ticket and return its log position, or raise a ticket error."""
        ...


@runtime_checkable
class TicketLog(Protocol):
    """The log of accepted change tickets (offered by service ``config``)."""

    async def log(self, start: int, limit: int) -> tuple[tuple[int, ChangeTicket], ...]:
        """Return the tickets after a log position in order, each with its own position."""
        ...


@runtime_checkable
class Members(Protocol):
    """The VMs of the fleet, as known to this VM (service ``members``)."""

    @property
    def own_vm(self) -> EntryVm:
        """The VM of this process."""
        ...

    def vms(self) -> tuple[EntryVm, ...]:
        """Return the live VMs in any state, including this one."""
        ...

    def find(self, vm: VmId) -> EntryVm | None:
        """Return the VM with exactly this incarnation, if live."""
        ...

    def region_loads(self) -> tuple[RegionLoad, ...]:
        """Return the latest load forecasts of all other regions."""
        ...

    def report_load(self, loads: tuple[RegionLoad, ...]) -> None:
        """Set the load forecasts of its own region that this VM sends to others."""
        ...

    def publish(self, name: str, note: bytes, *, urgent: bool = False) -> None:
        """Set a small note that heartbeats carry to peers that lack it.

        :param urgent: do not wait for the next heartbeat; for notes that change rarely.
        """
        ...

    def subscribe(self, name: str, listener: Callable[[EntryVm, bytes], None]) -> None:
        """Register a listener that is called for each note of this name received from a peer."""
        ...

    def announce_serving(self, *, http_port: int) -> None:
        """Announce the port on which callers are served, which ends the joining state."""
        ...

    def announce_leaving(self) -> None:
        """Announce that this VM is shutting down."""
        ...


@runtime_checkable
class Budget(Protocol):
    """Rate and burst of each account, summed over all VMs (service ``budget``)."""

    async def take(self, account: str, tokens: int) -> int:
        """Take tokens from this VM's share or a loan, or raise ``RATE_LIMITED``.

        :return: number of this admission, for ``settle``.
        """
        ...

    def settle(self, account: str, taken: int, used: int, *, admission: int = 0) -> None:
        """Refund the tokens that a finished request did not use, or charge those used in excess.

        :param admission: the number from ``take``; without it, the refund may be smaller.
        """
        ...


@runtime_checkable
class Dispatch(Protocol):
    """Decides where and when a call runs (service ``dispatch``)."""

    def run(self, call: Call) -> AsyncIterator[ResponsePart]:
        """Run a call here or in another region and yield the parts of the response.

        Raises ``GatewayError`` before the first part if the call is refused, and between parts if
        the response is cut off.
        """
        ...


@runtime_checkable
class BackendClient(Protocol):
    """Client for backend servers (service ``backends``)."""

    def run(self, call: Call, backend: BackendServer) -> AsyncIterator[ResponsePart]:
        """Run a call on one backend server; closing the iterator cancels the call there.

        Raises ``GatewayError``; its ``ran`` is ``NO`` only if no byte of the call can have
        reached the backend server.
        """
        ...

    def report(self, backend: str) -> LoadReport | None:
        """Return the latest load report of a backend server."""
        ...

    async def is_gone(self, backend: BackendServer, *, timeout_ms: int) -> bool:
        """Return whether a backend server's address refuses connections within the timeout."""
        ...


@runtime_checkable
class Peers(Protocol):
    """Client and server for other entry VMs (service ``peers``)."""

    def forward(self, call: Call, vm: EntryVm) -> AsyncIterator[ResponsePart]:
        """Run a call at another VM, at most one hop away, and yield the parts of the response."""
        ...

    async def ask(
        self, vm: EntryVm, topic: Topic[Q, R], request: Q, *, timeout_ms: int | None = None
    ) -> R:
        """Send one typed request to a peer and return its reply."""
        ...

    def serve(self, topic: Topic[Q, R], handler: Callable[[VmId, Q], Awaitable[R]]) -> None:
        """Register the handler of a topic's requests from peers; called in ``bind``."""
        ...


@runtime_checkable
class IdempotentCalls(Protocol):
    """Runs calls that carry an idempotency key at most once (service ``once``)."""

    def issue(self, account: str, count: int) -> tuple[str, ...]:
        """Issue idempotency keys bound to this VM's incarnation."""
        ...

    def run(self, call: Call) -> AsyncIterator[ResponsePart]:
        """Run a call that carries an idempotency key, here or at its issuer, at most once."""
        ...
