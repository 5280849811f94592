"""Whether the process at a server's address is still the start that the server's entry names."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("SETTLE_MS", "StartDoubt")

# All connections of a process that ends close within this time.
SETTLE_MS = 25


@dataclass(slots=True, eq=False)
class StartDoubt:
    """Signs that a server has ended, from ``since_ms`` to ``latest_ms`` on this VM's clock.

    Another start of it, maybe of another version, may listen at its address. ``told_born_ms`` is
    the start that its report has named since then, if that is another one than its entry's; before
    ``ask_again_ms`` it isn't asked for a further report.
    """

    since_ms: int
    latest_ms: int
    told_born_ms: int | None = None
    ask_again_ms: int = 0

    def note_sign(self, now_ms: int) -> None:
        """Note a further sign: the start that was named may have ended as well."""
        self.latest_ms = now_ms
        self.ask_again_ms = 0

    @property
    def proven_before_ms(self) -> int:
        """Connections that were opened before this time were opened to the start before."""
        return self.since_ms - SETTLE_MS

    def is_settled(self, now_ms: int) -> bool:
        """Return whether connections that close with the latest sign have closed."""
        return now_ms - self.latest_ms > SETTLE_MS
