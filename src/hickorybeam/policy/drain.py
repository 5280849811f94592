"""Which backend servers take new work at all.

Load pattern: a server is replaced under load. It says so by ticket or in its own report,
whichever comes first; either alone is enough, since the ticket may be seconds away and the
report may never come from a server that stops at once. Without this, work sent in its last
seconds is cut off and its callers see broken streams. What runs there already runs out.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hickorybeam.model import BackendServer, LoadReport

__all__ = ("accepts_new_work",)


def accepts_new_work(server: BackendServer, report: LoadReport | None) -> bool:
    """Whether a server may get new work, by its ticket and its last report."""
    return not server.leaving and not (report is not None and report.leaving)
