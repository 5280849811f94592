"""The service ``peers``: typed requests and forwarded calls between entry VMs."""

from __future__ import annotations

from contextlib import aclosing, asynccontextmanager, contextmanager
from typing import TYPE_CHECKING, Any, ClassVar, TypeVar

import anyio
from absl import logging

from hickorybeam import ports
from hickorybeam.errors import ErrorKind, GatewayError, Ran
from hickorybeam.kernel import Service
from hickorybeam.model import ResponseChunk, ResponseHead
from hickorybeam.peers.admission import check_addressee, check_call, mark_hop
from hickorybeam.peers.channel import Address
from hickorybeam.peers.client import TRANSPORT_ERRORS, PeerClient
from hickorybeam.peers.codec import pack, unpack
from hickorybeam.peers.connections import ConnectionPool
from hickorybeam.peers.server import PeerServer
from hickorybeam.peers.tls import check_certificate, client_context, server_context
from hickorybeam.peers.wire import AskReply, AskRequest, ForwardRequest, ResponseParts, to_wire
from hickorybeam.untrusted import InvalidBytesError

if TYPE_CHECKING:
    import ssl
    from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable, Iterator

    from hickorybeam.clock import Clock
    from hickorybeam.kernel import Kernel, Started
    from hickorybeam.model import Call, EntryVm, ResponsePart, VmId
    from hickorybeam.peers.shared_stream import SharedStream
    from hickorybeam.settings import Settings
    from hickorybeam.telemetry import Counters

__all__ = ("PeersService",)

Q = TypeVar("Q")
R = TypeVar("R")
T = TypeVar("T")

# Share of the file descriptors for connections of other VMs.
FILE_SHARE = 0.3
SWEEP_INTERVAL_MS = 500
DRAIN_POLL_INTERVAL_MS = 20
# Time for a receiver behind the sender's log position to catch up before it refuses: enough for one
# fetch from a peer, and short against a call's deadline.
CATCH_UP_TIMEOUT_MS = 500


class PeersService(Service):
    """Serves requests of peers and sends requests to them; implements ``ports.Peers``."""

    name: ClassVar[str] = ports.PEERS

    def __init__(self, *, cfg: Settings, clock: Clock, counters: Counters) -> None:
        self._cfg = cfg
        self._clock = clock
        self._handlers: dict[str, Callable[[VmId, bytes], Awaitable[bytes]]] = {}
        self._calls = counters.counter("peer_calls", "Calls to peers", ("topic", "outcome"))
        self._refusals = counters.counter("peer_refusals", "Calls of peers refused", ("kind",))
        self._channels = counters.gauge("peer_channels", "Open channels to peers")
        self._closed = counters.counter(
            "peer_connections_closed", "Peers' connections closed for the sake of others", ("why",)
        )
        self._routes = {
            Address.parse(route.address): Address.parse(route.via) for route in cfg.peers.routes
        }
        self._connections: ConnectionPool | None = None
        self._client: PeerClient | None = None
        self._kernel: Kernel | None = None
        self._services: dict[str, object] = {}
        self._draining = False
        self._running_calls = 0
        self.port = 0

    def bind(self, kernel: Kernel) -> None:
        """Keep the kernel; other services are looked up when the first call needs them."""
        self._kernel = kernel

    async def main(self, started: Started) -> None:
        """Listen until cancelled."""
        cfg = self._cfg.peers
        tls = client_context(cfg.tls)
        listening_tls = server_context(cfg.tls, self._handshake_refused)
        server = PeerServer(
            self,
            silent_after_ms=cfg.silent_after_ms,
            max_connections=int(self._cfg.vm.file_descriptors * FILE_SHARE),
            on_closed=lambda why: self._closed.labels(why).inc(),
        )
        async with anyio.create_task_group() as tg:

            def start(stream: SharedStream) -> None:
                tg.start_soon(stream.run, cfg.call_timeout_ms, TRANSPORT_ERRORS)

            self._connections = ConnectionPool(
                clock=self._clock, tls=tls, silent_after_ms=cfg.silent_after_ms, start=start
            )
            self._client = PeerClient(
                self._connections,
                connect_timeout_ms=cfg.call_timeout_ms,
                authenticate=tls is not None,
            )
            try:
                await self._listen(server, listening_tls, started)
            finally:
                self._connections.close()
                server.abort()

    async def _listen(
        self, server: PeerServer, tls: ssl.SSLContext | None, started: Started
    ) -> None:
        vm = self._cfg.vm
        self.port = await server.listen(vm.host, self.port or vm.peer_port, tls=tls)
        started()
        while True:
            await self._clock.sleep(SWEEP_INTERVAL_MS)
            if self._connections is not None:
                self._connections.sweep()
                self._channels.set(len(self._connections))
            server.sweep()

    async def drain(self) -> None:
        """Refuse new forwarded calls and wait for those that run on this VM.

        Typed requests are still answered, since other VMs need them to settle.
        """
        self._draining = True
        while self._running_calls:
            await self._clock.sleep(DRAIN_POLL_INTERVAL_MS)

    def serve(self, topic: ports.Topic[Q, R], handler: Callable[[VmId, Q], Awaitable[R]]) -> None:
        """Register the handler of a topic's requests from peers."""

        async def answer(sender: VmId, body: bytes) -> bytes:
            try:
                request = unpack(topic.request, body)
            except InvalidBytesError as exc:
                raise GatewayError(ErrorKind.BAD_REQUEST, topic.name) from exc
            return pack(await handler(sender, request))

        if topic.name in self._handlers:
            raise ValueError(f"topic {topic.name!r} is served twice")
        self._handlers[topic.name] = answer

    async def ask(
        self, vm: EntryVm, topic: ports.Topic[Q, R], request: Q, *, timeout_ms: int | None = None
    ) -> R:
        """Send one typed request to a peer and return its reply."""
        ask = AskRequest(sender=self._own_id(), to=vm.id, topic=topic.name, body=pack(request))
        timeout_ms = self._cfg.peers.call_timeout_ms if timeout_ms is None else timeout_ms
        with self._count_outcome(topic.name):
            client = self._started_client()
            send = client.ask_on_shared_stream if topic.shared_stream else client.ask
            body = await send(self._address(vm), ask, timeout_ms=timeout_ms)
            try:
                return unpack(topic.reply, body)
            except InvalidBytesError as exc:
                raise GatewayError(ErrorKind.INTERNAL, f"reply to {topic.name}") from exc

    async def forward(self, call: Call, vm: EntryVm) -> AsyncGenerator[ResponsePart, None]:
        """Run a call at another VM, at most one hop away, and yield the parts of the response."""
        if call.hops:
            raise GatewayError(ErrorKind.HOP_LIMIT, ran=Ran.NO)
        forward = ForwardRequest(sender=self._own_id(), to=vm.id, call=call)
        with self._count_outcome("forward"):
            async with aclosing(
                self._started_client().forward(self._address(vm), forward)
            ) as parts:
                async for part in parts:
                    yield part

    def _executor_of(self, call: Call) -> ports.Dispatch | ports.IdempotentCalls:
        """Return the service that runs a forwarded call.

        A call with an idempotency key is forwarded to the key's issuer, the only VM that knows
        whether the key was used. Passed straight to dispatch, a repeated call would run twice.
        """
        if call.idempotency_key:
            return self._find(ports.ONCE, ports.IdempotentCalls)  # type: ignore[type-abstract]
        return self._find(ports.DISPATCH, ports.Dispatch)  # type: ignore[type-abstract]

    async def on_ask(self, ask: AskRequest, certificate: dict[str, Any] | None) -> AskReply:
        """Answer one typed request of a peer."""
        try:
            self._check_peer(ask.sender, ask.to, certificate)
            handler = self._handlers.get(ask.topic)
            if handler is None:
                raise GatewayError(ErrorKind.BAD_REQUEST, f"no topic {ask.topic!r}")
            return AskReply(body=await handler(ask.sender, ask.body))
        except Exception as exc:
            return AskReply(error=to_wire(self._count_refusal(exc)))

    async def on_forward(
        self, forward: ForwardRequest, certificate: dict[str, Any] | None
    ) -> AsyncGenerator[ResponseParts, None]:
        """Run a forwarded call on this VM, or refuse it."""
        self._running_calls += 1
        try:
            self._check_peer(forward.sender, forward.to, certificate)
            if self._draining:
                raise GatewayError(ErrorKind.DRAINING)
            call = await self._admit(forward.call)
            async with closing_iterator(self._executor_of(call).run(call)) as parts:
                async for part in parts:
                    yield _to_parts(part)
        except Exception as exc:
            yield ResponseParts(error=to_wire(self._count_refusal(exc)))
        finally:
            self._running_calls -= 1

    async def _admit(self, call: Call) -> Call:
        config = self._find(ports.CONFIG, ports.ConfigView)  # type: ignore[type-abstract]
        state = config.current()
        if state.position < call.position:
            state = await config.wait_for(call.position, timeout_ms=CATCH_UP_TIMEOUT_MS)
        check_call(call, state, self._cfg.vm.region)
        return mark_hop(call)

    def _check_peer(self, sender: VmId, to: VmId, certificate: dict[str, Any] | None) -> None:
        if not self._cfg.peers.tls.plain:
            check_certificate(certificate, sender.name)
        check_addressee(to, self._own_id())

    def _handshake_refused(self) -> None:
        self._refusals.labels(ErrorKind.PEER_REFUSED.value).inc()

    def _count_refusal(self, exc: Exception) -> GatewayError:
        if not isinstance(exc, GatewayError):
            logging.exception("request from a peer failed: %s", type(exc).__name__)
            exc = GatewayError(ErrorKind.INTERNAL, type(exc).__name__)
        self._refusals.labels(exc.kind.value).inc()
        return exc

    def _find(self, name: str, kind: type[Q]) -> Q:
        # Cached, since checking a protocol at run time takes a good part of a call's CPU time.
        found = self._services.get(name)
        if found is None:
            if self._kernel is None:
                raise GatewayError(ErrorKind.NOT_READY, "not bound", ran=Ran.NO)
            found = self._services[name] = self._kernel.find(name, kind)
        return found  # type: ignore[return-value]

    def _address(self, vm: EntryVm) -> Address:
        advertised = Address(vm.host, vm.peer_port)
        return self._routes.get(advertised, advertised)

    def _own_id(self) -> VmId:
        return self._find(ports.MEMBERS, ports.Members).own_vm.id  # type: ignore[type-abstract]

    def _started_client(self) -> PeerClient:
        if self._client is None:
            raise GatewayError(ErrorKind.NOT_READY, "peers have not started", ran=Ran.NO)
        return self._client

    @contextmanager
    def _count_outcome(self, topic: str) -> Iterator[None]:
        try:
            yield
        except GatewayError as exc:
            self._calls.labels(topic, exc.kind.value).inc()
            raise
        self._calls.labels(topic, "ok").inc()


@asynccontextmanager
async def closing_iterator(parts: AsyncIterator[T]) -> AsyncGenerator[AsyncIterator[T], None]:
    """Close an iterator on exit if it is a generator, which cancels the call behind it."""
    try:
        yield parts
    finally:
        close = getattr(parts, "aclose", None)
        if close is not None:
            await close()


def _to_parts(part: ResponsePart) -> ResponseParts:
    match part:
        case ResponseHead():
            return ResponseParts(head=part)
        case ResponseChunk():
            return ResponseParts(chunks=(part,))
        case _:
            return ResponseParts(end=part)
