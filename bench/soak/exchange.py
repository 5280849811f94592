"""One exchange of a soak's caller with a VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from hickorybeam.demo.platform import Answer
from hickorybeam.http1 import BrokenResponseError, ConnectFailedError

if TYPE_CHECKING:
    from hickorybeam.http1 import RawHeaders, UpstreamPool

__all__ = ("exchange",)


async def exchange(
    pool: UpstreamPool, port: int, data: bytes, limit_s: float, *, keep: bool = False
) -> Answer:
    """Send a request and return what came of its answer.

    :param limit_s: the caller closes its connection after this long.
    :param keep: the request may go over a connection of earlier ones, which stays open after it.
    """
    address = ("127.0.0.1", port)
    parts: list[bytes] = []
    status = 0
    headers: RawHeaders = ()
    conn = None
    try:
        with anyio.fail_after(limit_s):
            conn = await pool.acquire(address, fresh=not keep)
            conn.send(data)
            head = await conn.read_head()
            status, headers = head.status, head.headers
            while chunk := await conn.read_chunk():
                parts.append(chunk)
        if keep:
            pool.release(address, conn)
            conn = None
    except (BrokenResponseError, ConnectFailedError, TimeoutError):
        return Answer(status, headers, b"".join(parts), whole=False)
    finally:
        if conn is not None:
            conn.abort()
    return Answer(status, headers, b"".join(parts))
