"""What a VM that shuts down still takes, and for how long.

Load it answers: VMs that are replaced in turn while callers hold lists that name them, and other
regions' VMs hand them requests that may run nowhere else. Everything is taken for a moment, then
only what surely ends before the process does; a request taken later would be cut in its middle.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("ShutdownSchedule",)

# Shares of the time that a shutdown may take.
SERVE_ON_SHARE = 0.3
ACCEPT_ON_SHARE = 0.57
# What runs is finished by this long before the process is killed, in ms.
END_MARGIN_MS = 400


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """The times of one shutdown, in ms after it began.

    :param grace_ms: how long it may take.
    """

    grace_ms: float

    @property
    def accept_all_until_ms(self) -> float:
        """Until when everything is taken: callers still hold lists that name the VM."""
        return self.grace_ms * SERVE_ON_SHARE

    @property
    def accept_until_ms(self) -> float:
        """Until when connections are taken, for what surely ends in time.

        The last VM of a caller's homes is used up to there.
        """
        return self.grace_ms * ACCEPT_ON_SHARE

    @property
    def finish_by_ms(self) -> float:
        """When all that runs has to be finished."""
        return self.grace_ms - END_MARGIN_MS

    def accepts(self, *, since_ms: float, left_ms: float) -> bool:
        """Return whether the VM takes a request with so much time left and surely ends it.

        :param since_ms: for how long the VM has been shutting down.
        """
        return since_ms < self.accept_until_ms and since_ms + left_ms <= self.finish_by_ms
