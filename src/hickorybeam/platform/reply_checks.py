"""Check that a reply of the store fits the call that it came to.

The store's protocol has no ids. A reply that is told twice, or comes late on a kept connection,
shows by its content that it is another call's: by its keys, or as its revision is no later than
what was known when the call was sent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hickorybeam.platform.replies import StoreReply
    from hickorybeam.store.port import KeyValue, WatchBatch

__all__ = ("misfit_of_batches", "misfit_of_commit", "misfit_of_page", "misfit_of_revision")


def misfit_of_revision(reply: StoreReply, known: int) -> str:
    """Return why a reply can't be to a call that was sent when a revision was known, if so."""
    if reply.at is not None and reply.at < known:
        return f"it is of revision {reply.at}, and {known} was known"
    return ""


def misfit_of_page(items: Iterable[KeyValue], *, prefix: str, after: str) -> str:
    """Return why a page can't be the one asked for, empty if it can."""
    for item in items:
        if not item.key.startswith(prefix) or item.key <= after:
            return f"key {item.key!r} under {prefix!r} after {after!r}"
    return ""


def misfit_of_batches(batches: Iterable[WatchBatch], *, prefix: str, after: int) -> str:
    """Return why changes can't be those after a revision, empty if they can."""
    for batch in batches:
        keys = (*(item.key for item in batch.puts), *batch.deletes)
        if keys and batch.revision <= after:
            return f"a change of revision {batch.revision} after {after}"
        for key in keys:
            if not key.startswith(prefix):
                return f"key {key!r} under {prefix!r}"
    return ""


def misfit_of_commit(reply: StoreReply, known: int) -> str:
    """Return why a reply can't be to a transaction that wrote something, empty if it can.

    :param known: the highest revision known when it was sent.
    """
    if reply.revision is not None and reply.revision <= known:
        return f"it wrote revision {reply.revision}, and {known} was known before"
    return ""
