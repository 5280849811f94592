"""What the services ask of each other, by name: the seams at which tests put small fakes.

Every service registers under one of the names below and is found through the kernel; no
service imports another service's module.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar, runtime_checkable

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from hickorybeam.model import (
        ResponsePart,
        BackendServer,
        Call,
        ChangeTicket,
        ConfigState,
        EntryVm,
        LoadReport,
        RegionLoad,
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


@dataclass(frozen=True, slots=True)
class Topic(Generic[Q, R]):
    """One kind of request between VMs: its name and the types of request and reply.

    ``shared_stream`` topics have small messages that go often to the same peers; they share a
    long-lived stream, at about half the processor time of a call of its own.
    """

    name: str
    request: type[Q]
    reply: type[R]
    shared_stream: bool = False


@runtime_checkable
class ConfigView(Protocol):
    """The change tickets in force on this VM (service ``config``)."""

    def current(self) -> ConfigState:
        """Return the state in force now."""
        ...

    def age_ms(self) -> int:
        """Return how long ago this VM last confirmed that it missed nothing."""
        ...

    async def wait_for(self, position: int, *, timeout_ms: int) -> ConfigState:
        """Catch up to a log position or raise ``CONFIG_BEHIND``."""
        ...

    async def wait_past(self, position: int) -> ConfigState:
        """Wait until the state in force is past this position."""
        ...

    async def submit(self, ticket: ChangeTicket) -> int:
        """Accept a ticket and return its log position, or raise a ticket error."""
        ...


@runtime_checkable
class TicketLog(Protocol):
    """The log of accepted change tickets (offered by service ``config``)."""

    async def log(self, start: int, limit: int) -> tuple[tuple[int, ChangeTicket], ...]:
        """Return tickets past a position, each with its own, in order."""
        ...


@runtime_checkable
class Members(Protocol):
    """Who is in the fleet, as far as this VM knows (service ``members``)."""

    @property
    def me(self) -> EntryVm:
        """The VM of this process."""
        ...

    def vms(self) -> tuple[EntryVm, ...]:
        """Return the VMs believed alive, this one included, whatever their state."""
        ...

    def find(self, vm: VmId) -> EntryVm | None:
        """Return a VM of exactly this incarnation, if believed alive."""
        ...

    def region_loads(self) -> tuple[RegionLoad, ...]:
        """Return the latest summary of every other region."""
        ...

    def report_load(self, loads: tuple[RegionLoad, ...]) -> None:
        """Set what this VM tells others of its region."""
        ...

    def publish(self, name: str, note: bytes, *, urgent: bool = False) -> None:
        """Set a small note that heartbeats bring to the peers of this VM that lack it.

        :param urgent: do not wait for the next heartbeat; for notes that change seldom.
        """
        ...

    def subscribe(self, name: str, listener: Callable[[EntryVm, bytes], None]) -> None:
        """Call a listener with each peer's note of this name as heartbeats bring it."""
        ...

    def announce_serving(self, *, http_port: int) -> None:
        """Announce that callers are served on this port, which ends the joining state."""
        ...

    def announce_leaving(self) -> None:
        """Announce that this VM is shutting down."""
        ...


@runtime_checkable
class Budget(Protocol):
    """Rate and burst of each account, summed over all VMs (service ``budget``)."""

    async def take(self, account: str, tokens: int) -> int:
        """Spend tokens, from the own share or a loan, or raise ``RATE_LIMITED``.

        :return: the number of this admission, for ``settle``.
        """
        ...

    def settle(self, account: str, taken: int, used: int, *, admission: int = 0) -> None:
        """Give back what a finished request did not use, or take what it used beyond.

        :param admission: what ``take`` returned; without it less may come back.
        """
        ...


@runtime_checkable
class Dispatch(Protocol):
    """Decides where and when a call runs (service ``dispatch``)."""

    def run(self, call: Call) -> AsyncIterator[ResponsePart]:
        """Run a call here or in another region and yield the answer's parts.

        Raises ``GatewayError`` before the first part when it is refused, and between parts
        when the answer is cut off.
        """
        ...


@runtime_checkable
class BackendClient(Protocol):
    """Speaks to backend servers (service ``backends``)."""

    def run(self, call: Call, backend: BackendServer) -> AsyncIterator[ResponsePart]:
        """Run a call on one backend server; closing the iterator cancels it there.

        Raises ``GatewayError``; its ``ran`` is ``NO`` only if no byte of the call can have
        reached the backend server.
        """
        ...

    def report(self, backend: str) -> LoadReport | None:
        """Return the latest load report of a backend server."""
        ...


@runtime_checkable
class Peers(Protocol):
    """Speaks to other entry VMs (service ``peers``)."""

    def forward(self, call: Call, vm: EntryVm) -> AsyncIterator[ResponsePart]:
        """Run a call at another VM, one hop at most, and yield the answer's parts."""
        ...

    async def ask(
        self, vm: EntryVm, topic: Topic[Q, R], request: Q, *, timeout_ms: int | None = None
    ) -> R:
        """Send one typed request to a peer and return its reply."""
        ...

    def serve(self, topic: Topic[Q, R], handler: Callable[[VmId, Q], Awaitable[R]]) -> None:
        """Answer a topic's requests from peers; called in ``bind``."""
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
