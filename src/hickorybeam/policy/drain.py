"""Which backend servers accept new work.

A server that is replaced under load is marked as leaving by a change ticket or by its own load
report. Either alone is enough, since the ticket may arrive seconds later and a server that stops
at once may never report. Otherwise work sent in the server's last seconds is cut off and callers
see broken streams. Work that already runs there continues to its end.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hickorybeam.model import BackendServer, LoadReport

__all__ = ("accepts_new_work",)


def accepts_new_work(server: BackendServer, report: LoadReport | None) -> bool:
    """Return whether a server may get new work, by its configuration and its last load report."""
    return not server.leaving and not (report is not None and report.leaving)
