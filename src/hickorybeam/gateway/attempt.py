"""One attempt to send a request to a backend server, directly or through a VM of its region."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import anyio

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.errors import ErrorKind
from hickorybeam.gateway.forwarding.hop import (
    HOP_NOT_RUN,
    HOP_RETRY_AFTER_MS,
    PART_BLOCKED,
    REJECTED,
    REQUEST_BLOCKED,
    forwarded_headers,
)
from hickorybeam.gateway.forwarding.run_messages import RunAnswers
from hickorybeam.gateway.send_records import NotRunGround
from hickorybeam.gateway.targets import PeerTarget, ServerTarget, address_of
from hickorybeam.http1 import (
    BrokenResponseError,
    ConnectFailedError,
    RequestId,
    find_header,
    parse_count,
)
from hickorybeam.http1.head import request_head_bytes
from hickorybeam.model.routing import Repeat
from hickorybeam.platform import REQUEST_ID, decode_response, server_headers

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hickorybeam.gateway.forwarding.run_cancels import RemoteRun, RunCancels
    from hickorybeam.gateway.forwarding.run_messages import RunEnded
    from hickorybeam.gateway.targets import AdmittedRequest, Target
    from hickorybeam.http1 import RawHeaders, ResponseHead, UpstreamConnection, UpstreamPool
    from hickorybeam.http1.pool import Address
    from hickorybeam.platform import ResponseInfo

__all__ = (
    "Attempt",
    "FirstByteTimeoutError",
    "NotRunError",
)

FAILOVER_CHECK_INTERVAL_MS = 200
# A smaller body is sent in one piece with its head.
MAX_JOINED_BODY_BYTES = 65_536
# A rejection has no body, or one of a few words.
MAX_DRAINED_BYTES = 65_536
MAX_DRAIN_MS = 250
# A response that its VM says has begun arrives by then, unless its connection is lost.
MAX_HEAD_WAIT_MS = 500
# A server that drops its request closes its end within a round trip inside the region.
MAX_CLOSE_MS = 300
BLOCKED_KINDS = {
    PART_BLOCKED: ErrorKind.PART_BLOCKED,
    REQUEST_BLOCKED: ErrorKind.REQUEST_BLOCKED,
}


class NotRunError(Exception):
    """The request was certainly not run: it was not sent, or the other end guarantees it.

    :param unreachable: no connection could be opened.
    :param rejected: a server received the request and rejected it.
    :param retry_after_ms: when the other end expects to have a free slot, if it says so.
    :param blocked: another region's VM blocks it, or a part of its prompt; the kind of error.
    :param ground: how it is known.
    """

    def __init__(
        self,
        text: str,
        *,
        unreachable: bool = False,
        rejected: bool = False,
        retry_after_ms: int | None = None,
        blocked: ErrorKind | None = None,
        ground: NotRunGround = NotRunGround.UNSENT,
    ) -> None:
        super().__init__(text)
        self.ground = ground
        self.unreachable = unreachable
        self.rejected = rejected
        self.retry_after_ms = retry_after_ms
        self.blocked = blocked


class FirstByteTimeoutError(BrokenResponseError):
    """No first byte came within the timeout; the request may have run.

    :param ended: the guarantee of another VM that its run has ended.
    """

    def __init__(self, text: str, *, ended: RunEnded | None = None) -> None:
        super().__init__(text)
        self.ended = ended


class Attempt:
    """One attempt to send a request; whoever opens it must ``close`` it.

    :param copy_from: ``host:port`` of a server that holds shared parts of the prompt.
    :param is_blocked: returns whether the request must not be sent any more.
    :param prove: send on a new connection, on which this shows whether the server answers: it
        returns when that was asked, 0 if the server did not answer, ``None`` if it wasn't asked.
    :param checked: don't send on one that the server has closed, though nobody has noticed yet.
    :param run: the run that a VM is asked for; ``None`` if the target is a server.
    """

    def __init__(
        self,
        pool: UpstreamPool,
        target: Target,
        request: AdmittedRequest,
        *,
        copy_from: str | None = None,
        is_blocked: Callable[[], bool] = lambda: False,
        prove: Callable[[UpstreamConnection], Awaitable[int | None]] | None = None,
        checked: bool = False,
        run: RemoteRun | None = None,
    ) -> None:
        self._pool = pool
        self._prove = prove
        self._checked = checked
        self.was_sent = False
        self._is_answered = False
        self.run = run
        self.connected_ms = 0
        self.connect_asked_ms = 0
        self.proven_ms = 0
        self._is_blocked = is_blocked
        self._copy_from = copy_from
        self._target = target
        self._request = request
        self._address = address_of(target)
        self._conn: UpstreamConnection | None = None
        # What it was sent on: its connection, and how many requests that had then carried.
        self._sent_on: tuple[UpstreamConnection, int] | None = None

    def describe_connection(self) -> str:
        """Return what it was sent on, for the log; empty if it was not sent."""
        if self._sent_on is None:
            return ""
        conn, number = self._sent_on
        return f"port {conn.local_port}, request {number}"

    @property
    def address(self) -> Address:
        """Where it is sent."""
        return self._address

    @property
    def closed_by_peer(self) -> bool:
        """Whether the other end closed the connection after a response had begun on it."""
        return self._is_answered and self._conn is not None and self._conn.closed_by_peer

    @property
    def is_connected(self) -> bool:
        """Whether its connection is open."""
        return self._conn is not None and not self._conn.closed

    def is_connected_since(self, before_ms: int) -> bool:
        """Return whether its connection is open and was opened before a time."""
        conn = self._conn
        if conn is None or conn.closed or self.connected_ms >= before_ms:
            return False
        return conn.is_established

    async def open(
        self,
        now_ms: int,
        *,
        first_byte_timeout_ms: float | None = None,
        should_fail_over: Callable[[], bool] = lambda: True,
        run_cancels: RunCancels | None = None,
    ) -> tuple[ResponseHead, ResponseInfo]:
        """Send the request and return the head of its response.

        :param first_byte_timeout_ms: how long to wait for the head; ``None`` to wait until the
            deadline.
        :param should_fail_over: called after the timeout, and in intervals from then on, until it
            returns whether the request should go elsewhere; while it returns ``False``, the wait
            for the response goes on.
        :param run_cancels: ends the run at another VM; ``None`` if it may go on beside the next.
        :raises NotRunError: the request was not run.
        :raises FirstByteTimeoutError: no byte came within the timeout.
        :raises BrokenResponseError: the request may have run.
        """
        timeout_s = None if first_byte_timeout_ms is None else first_byte_timeout_ms / MS_PER_SECOND
        with anyio.move_on_after(timeout_s):
            conn = await self._send(now_ms)
            head = await conn.read_head()
            return await self._decode(head)
        sent_on = self._conn
        if sent_on is None:
            raise NotRunError("no connection within the first-byte timeout", unreachable=True)
        while not should_fail_over():
            with anyio.move_on_after(FAILOVER_CHECK_INTERVAL_MS / MS_PER_SECOND):
                head = await sent_on.read_head()
                return await self._decode(head)
        if self.run is None or run_cancels is None:
            raise FirstByteTimeoutError("no response within the first-byte timeout")
        return await self._head_unless_ended(sent_on, self.run, run_cancels)

    async def _head_unless_ended(
        self, conn: UpstreamConnection, run: RemoteRun, run_cancels: RunCancels
    ) -> tuple[ResponseHead, ResponseInfo]:
        """Wait for the response until the run's VM guarantees that the run has ended."""
        head: ResponseHead | None = None
        ended: RunEnded | None = None

        async def read(scope: anyio.CancelScope) -> None:
            nonlocal head
            # A connection that breaks meanwhile tells nothing about the run.
            with contextlib.suppress(BrokenResponseError):
                head = await conn.read_head()
                scope.cancel()

        async with anyio.create_task_group() as tg:
            tg.start_soon(read, tg.cancel_scope)
            ended = await end_unless_answering(run, run_cancels)
            tg.cancel_scope.cancel()
        if head is not None:
            return await self._decode(head)
        raise FirstByteTimeoutError("no response within the first-byte timeout", ended=ended)

    async def _decode(self, head: ResponseHead) -> tuple[ResponseHead, ResponseInfo]:
        # Only a VM's word counts: a server may send the same header.
        not_run = None if self.run is None else find_header(head.headers, HOP_NOT_RUN)
        if not_run is not None:
            await self.drain_body()
            raise NotRunError(
                f"the other region did not run it: {not_run.decode('latin-1')}",
                ground=NotRunGround.VM,
                rejected=not_run == REJECTED,
                blocked=BLOCKED_KINDS.get(not_run),
                retry_after_ms=parse_count(find_header(head.headers, HOP_RETRY_AFTER_MS)),
            )
        self._is_answered = True
        return head, decode_response(head)

    async def _send(self, now_ms: int) -> UpstreamConnection:
        """Send on an idle connection, or on a new one if the idle one has just been closed."""
        call = self._request.call
        head = request_head_bytes(call.method, call.target, self._headers(now_ms), call.body)
        # A copy of a large body would stay until its server has read all of it.
        data = (head, call.body) if len(call.body) > MAX_JOINED_BODY_BYTES else (head + call.body,)
        expected = RequestId(REQUEST_ID, call.request_id.encode("latin-1"))
        for fresh in (self._prove is not None or self._keeps_off_kept(), True):
            try:
                self._conn = await self._connect(fresh=fresh)
                self.connected_ms = self._conn.opened_ms
                if self._is_blocked():
                    raise NotRunError("it or a part of its prompt was blocked meanwhile")
                self._conn.send(*data, expected_id=expected, head_only=call.method == "HEAD")
                self.was_sent = True
                self._sent_on = (self._conn, self._conn.request_count)
            except ConnectFailedError as exc:
                raise NotRunError(str(exc), unreachable=True) from exc
            except BrokenResponseError as exc:
                # Nothing was sent: the other end closed the connection while it was idle.
                self.close()
                reason = str(exc)
            else:
                return self._conn
        raise NotRunError(reason)

    async def _connect(self, *, fresh: bool) -> UpstreamConnection:
        """Return a connection to send on, and note what shows that the server is there."""
        conn = await self._pool.acquire(self._address, fresh=fresh, checked=self._checked)
        self.connect_asked_ms = conn.asked_ms
        if self._prove is None:
            return conn
        try:
            proven_ms = await self._prove(conn)
        except BaseException:
            conn.abort()
            raise
        self.proven_ms = proven_ms or 0
        if proven_ms == 0:
            # It takes connections and answers nothing, or is slow: it is sent the request as well.
            self.connect_asked_ms = 0
            conn = await self._pool.acquire(self._address, fresh=True)
        return conn

    def _keeps_off_kept(self) -> bool:
        """Return whether it must not be sent on a kept connection."""
        can_repeat = self._request.route.repeat is Repeat.IDEMPOTENT
        return not can_repeat and self._pool.sent_strays(self._address)

    def _headers(self, now_ms: int) -> RawHeaders:
        request = self._request
        left_ms = request.deadline_ms - now_ms
        match self._target:
            case ServerTarget(server_state):
                return server_headers(
                    request.call,
                    server_id=server_state.server.id,
                    account=request.account,
                    left_ms=left_ms,
                    urgency=request.urgency,
                    resume_after=request.resume_after,
                    copy_from=self._copy_from,
                )
            case PeerTarget():
                return forwarded_headers(request, now_ms, self.run.name if self.run else "")

    async def forward_body(
        self, forward: Callable[[bytes], bool], wait_ready: Callable[[], Awaitable[None]]
    ) -> None:
        """Pass the response's body on as it arrives, until its proper end.

        :param forward: takes bytes, and returns whether the receiver takes more at once.
        :param wait_ready: waits until the receiver takes more.
        """
        if self._conn is None:
            raise BrokenResponseError("the attempt has no open connection", sent=False)
        await self._conn.forward_body(forward, wait_ready)

    @property
    def ends_at_close(self) -> bool:
        """Whether nothing but its connection's end marks the end of the response."""
        return self._conn is not None and self._conn.ends_at_close

    @property
    def quiet_ms(self) -> int:
        """How long before its connection's close was read the last bytes had arrived."""
        return 0 if self._conn is None else self._conn.quiet_ms

    @property
    def declared_bytes(self) -> int | None:
        """The length that the response declares for its body, ``None`` if it declares none."""
        return None if self._conn is None else self._conn.declared_bytes

    async def read_chunk(self) -> bytes:
        """Wait for bytes of the response's body and return them; empty at its end."""
        if self._conn is None:
            raise BrokenResponseError("the attempt has no open connection", sent=False)
        return await self._conn.read_chunk()

    def release(self) -> None:
        """Return the connection to the pool after the body was read to its proper end."""
        if self._conn is not None:
            self._pool.release(self._address, self._conn)
            self._conn = None

    async def close_acknowledged(self) -> bool:
        """Close the connection; return whether the server closed its end, and so its run."""
        return self._conn is None or await self._conn.close_acknowledged(MAX_CLOSE_MS)

    def close(self) -> None:
        """Abort the connection unless it was released; the other end cancels a run."""
        if self._conn is not None:
            self._conn.abort()
            self._conn = None

    def close_idle(self) -> None:
        """Close the pool's idle connections to the target's address."""
        self._pool.close_idle(self._address)

    async def drain_body(self) -> None:
        """Read the body of a response that says that nothing ran, for the connection's sake.

        That the request was not run is known by the head. A body that doesn't end soon costs the
        connection, and neither the answer nor time.
        """
        with anyio.move_on_after(MAX_DRAIN_MS / MS_PER_SECOND):
            try:
                if self._conn is not None:
                    await self._conn.read_body(max_bytes=MAX_DRAINED_BYTES)
            except BrokenResponseError:
                self.close()
            else:
                self.release()
        self.close()


async def end_unless_answering(run: RemoteRun, run_cancels: RunCancels) -> RunEnded | None:
    """End a run; first wait for its response if that has begun and is on its way."""
    match await run_cancels.settle_silent(run):
        case RunAnswers():
            await anyio.sleep(MAX_HEAD_WAIT_MS / MS_PER_SECOND)
            return await run_cancels.settle(run)
        case word:
            return word
