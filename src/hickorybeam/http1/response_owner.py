"""Decide whose a response is, by the id that it echoes.

A server may send more than the response to each request: one that comes late, where the next is
expected, one at accept, a refusal by something before it. Taken for the request's own, such a
response would give a caller another one's answer, or a promise that the request was not run while
its server runs it. Neither the order on a connection nor that the connection is new shows whose a
response is; only the echoed id does. Whatever doesn't show it belongs to nobody, and the right
response is still awaited.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hickorybeam.http1.head import RawHeaders

__all__ = ("STATUS_LINE", "Owner", "RequestId", "Stray", "StrayKind", "is_merged", "owner_of")

STATUS_LINE = b"HTTP/1."


class Owner(Enum):
    """Whose a response is: the ``REQUEST``'s, ``ANOTHER`` request's, or ``NOBODY``'s."""

    REQUEST = "request"
    ANOTHER = "another"
    NOBODY = "nobody"


@dataclass(frozen=True, slots=True)
class RequestId:
    """The id of a request, and the header (in lower case) in which its response echoes it.

    An empty ``value`` is that of a request without an id, such as a health check: its response has
    none.
    """

    header: bytes
    value: bytes


class StrayKind(Enum):
    """What came of no request.

    ``ANOTHER``, ``NOBODY``: a response with the id of another request, or without a clear one.
    ``SURPLUS``: bytes while none were expected. ``INVALID``: bytes that are no response.
    """

    ANOTHER = "another"
    NOBODY = "nobody"
    SURPLUS = "surplus"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class Stray:
    """Bytes of no request that came on a connection.

    ``peer`` is the other end's address and ``on`` the connection with the number of the request
    that it last carried, whose id is ``request_id``. ``status`` is 0 without a response.
    """

    kind: StrayKind
    peer: str
    on: str
    request_id: str
    status: int = 0


def owner_of(headers: RawHeaders, expected: RequestId) -> Owner:
    """Return whose a response is.

    One that echoes several ids doesn't show which of them is meant.
    """
    header, value = expected.header, expected.value
    is_own = is_other = False
    for name, echoed in headers:
        if name == header:
            if echoed == value:
                is_own = True
            else:
                is_other = True
    if is_own:
        return Owner.NOBODY if is_other else Owner.REQUEST
    if is_other:
        return Owner.ANOTHER
    return Owner.NOBODY if value else Owner.REQUEST


def is_merged(reason: bytes, headers: RawHeaders) -> bool:
    """Return whether a head is the beginning of one, and all of the next.

    Where a head breaks off, the next one is read as the end of its status line, or of a header's
    value: a refusal's status with the id of the response that follows.
    """
    return STATUS_LINE in reason or any(value.startswith(STATUS_LINE) for _, value in headers)
