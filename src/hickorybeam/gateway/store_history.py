"""Over which revisions of the store this VM has followed all changes without a gap."""

from __future__ import annotations

__all__ = ("StoreHistory",)


class StoreHistory:
    """The span of revisions in which nothing came and went unseen.

    A whole read shows what there is, and not what was there since the last change that is known.
    """

    def __init__(self) -> None:
        self.begins_at = 0
        self.complete_to = 0
        self._since_ms: int | None = None

    def begin(self, revision: int, now_ms: int) -> None:
        """Begin anew with a whole read at a revision."""
        self.begins_at = revision
        self._since_ms = now_ms

    def note_complete(self, revision: int) -> None:
        """Note that all changes up to a revision are known now."""
        self.complete_to = max(self.complete_to, revision)

    def complete_after(self, history_ms: int, now_ms: int) -> int:
        """Return the revision up to which all changes were followed for some time, else 0."""
        if self._since_ms is None or now_ms - self._since_ms < history_ms:
            return 0
        return self.complete_to
