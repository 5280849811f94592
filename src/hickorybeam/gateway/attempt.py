"""One send of a request to one backend server, directly or through a VM of its region."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.http1 import BrokenResponseError, ConnectFailedError, find_header
from hickorybeam.http1.head import request_bytes
from hickorybeam.platform import REQUEST_ID, decode_response, server_headers

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.gateway.peers import Peer
    from hickorybeam.gateway.placement_client import Grant
    from hickorybeam.http1 import RawHeaders, ResponseHead, UpstreamConnection, UpstreamPool
    from hickorybeam.model.routing import RelayCall, Route
    from hickorybeam.platform import ResponseInfo
    from hickorybeam.policy.server_choice import ServerState

__all__ = (
    "HOP_ACCOUNT",
    "HOP_RETRY_AFTER_MS",
    "HOP_TIME_LEFT_MS",
    "HOP_NOT_RUN",
    "HOP_RESUME_AFTER",
    "HOP_SERVICE",
    "HOP_URGENCY",
    "NOT_ASKED",
    "REJECTED",
    "Attempt",
    "AdmittedRequest",
    "NotSentError",
    "SilentError",
    "Target",
    "ToPeer",
    "ToServer",
)

# Between VMs: set by the sending VM, never taken from callers, who don't reach this port.
HOP_SERVICE = b"hop-service"
HOP_ACCOUNT = b"hop-account"
HOP_TIME_LEFT_MS = b"hop-left-ms"
HOP_URGENCY = b"hop-urgency"
HOP_RESUME_AFTER = b"hop-resume-after"
# In an answer between VMs: the request was not run, and nothing of the answer is a server's. Its
# value tells whether a server was asked and rejected it, or none was asked.
HOP_NOT_RUN = b"hop-not-run"
REJECTED, NOT_ASKED = b"rejected", b"not-asked"
# Beside it: in how many ms the region expects to have room.
HOP_RETRY_AFTER_MS = b"hop-come-back-ms"
# How often it is looked again whether a request should leave a silent server, in ms.
ASK_AGAIN_MS = 200


class NotSentError(Exception):
    """The request was surely not run: not sent, or the other end promises so.

    :param unreachable: no connection could be made.
    :param rejected: a server got the request and rejected it.
    :param come_back_ms: when there will be room at the other end, where it says so.
    """

    def __init__(
        self,
        text: str,
        *,
        unreachable: bool = False,
        rejected: bool = False,
        come_back_ms: int | None = None,
    ) -> None:
        super().__init__(text)
        self.unreachable = unreachable
        self.rejected = rejected
        self.come_back_ms = come_back_ms


class SilentError(BrokenResponseError):
    """No first byte came within the patience; the request may have run."""


@dataclass(frozen=True, slots=True)
class ToServer:
    """A backend server of this region; another VM may have given the place there."""

    standing: ServerState
    grant: Grant | None = None


@dataclass(frozen=True, slots=True)
class ToPeer:
    """A VM of another region, which picks one of its servers."""

    peer: Peer


Target = ToServer | ToPeer


@dataclass(slots=True, kw_only=True)
class AdmittedRequest:
    """A request with all that was decided about it.

    ``resume_after`` is the id of the last event that the caller has; it moves as a stream goes
    on. ``deadline_ms`` is on this VM's clock.
    """

    call: RelayCall
    route: Route
    service: str
    account: str | None
    urgency: int
    deadline_ms: int
    resume_after: str | None
    cost: float = 0.0


class Attempt:
    """One send; whoever opens it must ``close`` it.

    :param copy_from: ``host:port`` of a server that holds shared parts of the prompt.
    """

    def __init__(
        self,
        pool: UpstreamPool,
        target: Target,
        errand: AdmittedRequest,
        *,
        copy_from: str | None = None,
    ) -> None:
        self._pool = pool
        self._copy_from = copy_from
        self._target = target
        self._errand = errand
        self._address = address_of(target)
        self._conn: UpstreamConnection | None = None

    async def open(
        self,
        now_ms: int,
        *,
        patience_ms: float | None = None,
        leave: Callable[[], bool] = lambda: True,
    ) -> tuple[ResponseHead, ResponseInfo]:
        """Send the request and return the head of its answer.

        :param patience_ms: how long to wait for it; ``None`` for no limit but the deadline.
        :param leave: asked once the patience is over, and now and then after that: whether the
            request should go elsewhere. While not, its answer is waited for.
        :raises NotSentError: it was not run.
        :raises SilentError: no byte came within the patience.
        :raises BrokenResponseError: it may have run.
        """
        limit_s = None if patience_ms is None else patience_ms / MS_PER_SECOND
        with anyio.move_on_after(limit_s):
            conn = await self._sent(self._errand.deadline_ms - now_ms)
            head = await conn.read_head()
            return await self._decoded(head)
        waiting = self._conn
        if waiting is None:
            raise NotSentError("no connection in time", unreachable=True)
        while not leave():
            with anyio.move_on_after(ASK_AGAIN_MS / MS_PER_SECOND):
                head = await waiting.read_head()
                return await self._decoded(head)
        raise SilentError("silent")

    async def _decoded(self, head: ResponseHead) -> tuple[ResponseHead, ResponseInfo]:
        hop = find_header(head.headers, HOP_NOT_RUN)
        if hop is not None:
            await self._finish()
            after = find_header(head.headers, HOP_RETRY_AFTER_MS) or b""
            raise NotSentError(
                "the other region did not run it",
                rejected=hop != NOT_ASKED,
                come_back_ms=int(after) if after.isdigit() else None,
            )
        return head, decode_response(head)

    async def _sent(self, left_ms: int) -> UpstreamConnection:
        """Send on an idle connection, or on a new one if that has just ended."""
        call = self._errand.call
        data = request_bytes(call.method, call.target, self._headers(left_ms), call.body)
        expected = (REQUEST_ID, call.request_id.encode("latin-1")) if call.request_id else None
        for fresh in (False, True):
            try:
                self._conn = await self._pool.acquire(self._address, fresh=fresh)
                self._conn.send(data, expected_id=expected)
            except ConnectFailedError as exc:
                raise NotSentError(str(exc), unreachable=True) from exc
            except BrokenResponseError as exc:
                # Nothing was sent: the other end closed the connection while it was idle.
                self.close()
                why = str(exc)
            else:
                return self._conn
        raise NotSentError(why)

    def _headers(self, left_ms: int) -> RawHeaders:
        errand = self._errand
        match self._target:
            case ToServer(standing):
                return server_headers(
                    errand.call,
                    server_id=standing.server.id,
                    account=errand.account,
                    left_ms=left_ms,
                    urgency=errand.urgency,
                    resume_after=errand.resume_after,
                    copy_from=self._copy_from,
                )
            case ToPeer():
                return (*errand.call.headers, *hop_headers(errand, left_ms))

    async def chunk(self) -> bytes:
        """Return the next bytes of the answer's body, empty at its proper end."""
        if self._conn is None:
            raise BrokenResponseError("not open", sent=False)
        return await self._conn.read_chunk()

    async def body(self) -> bytes:
        """Read the whole body."""
        if self._conn is None:
            raise BrokenResponseError("not open", sent=False)
        return await self._conn.read_body()

    def kept(self) -> None:
        """Give the connection back after the body was read to its proper end."""
        if self._conn is not None:
            self._pool.release(self._address, self._conn)
            self._conn = None

    def close(self) -> None:
        """End the connection if it wasn't given back; a run at the other end is cancelled."""
        if self._conn is not None:
            self._conn.abort()
            self._conn = None

    def forget_idle(self) -> None:
        """Give up idle connections to an address that fell silent."""
        self._pool.close_idle(self._address)

    async def _finish(self) -> None:
        try:
            await self.body()
        except BrokenResponseError:
            self.close()
        else:
            self.kept()


def address_of(target: Target) -> tuple[str, int]:
    """Return the address that a target is reached at."""
    match target:
        case ToServer(standing):
            return (standing.server.host, standing.server.port)
        case ToPeer(peer):
            return (peer.vm.host, peer.vm.peer_port)


def hop_headers(errand: AdmittedRequest, left_ms: int) -> RawHeaders:
    """Return what a VM tells another one beside the caller's own headers."""
    headers = [
        (HOP_SERVICE, errand.service.encode("latin-1")),
        (HOP_TIME_LEFT_MS, b"%d" % max(1, left_ms)),
        (HOP_URGENCY, b"%d" % errand.urgency),
    ]
    if errand.account is not None:
        headers.append((HOP_ACCOUNT, errand.account.encode("latin-1")))
    if errand.resume_after is not None:
        headers.append((HOP_RESUME_AFTER, errand.resume_after.encode("latin-1")))
    return tuple(headers)
