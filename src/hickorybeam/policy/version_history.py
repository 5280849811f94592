"""Which versions of a service's software may have begun the streams that callers still have.

The same is kept of the services that a route has led to.

If only one may have, a stream's version is known though nobody has told of the stream: its caller
names no request, or its VM ended before its first report.
"""

from __future__ import annotations

from collections import Counter, defaultdict

from hickorybeam.policy.stream_versions import UNKNOWN_VERSION

__all__ = ("GONE_VERSION_MS", "VersionHistory")

# A stream may be taken up for so long after the last server of its version has gone.
GONE_VERSION_MS = 60_000


class VersionHistory:
    """Versions of the registered servers of each service, and of those that went lately.

    Or the services of each route, and those to which it led lately.
    """

    def __init__(self) -> None:
        self._present: defaultdict[str, Counter[bytes]] = defaultdict(Counter)
        self._gone: defaultdict[str, dict[bytes, int]] = defaultdict(dict)

    def add(self, service: str, key: bytes) -> None:
        """Record a server that has registered."""
        self._present[service][key] += 1

    def remove(self, service: str, key: bytes, now_ms: int) -> None:
        """Record that a server is gone."""
        present = self._present[service]
        present[key] -= 1
        if not present[key]:
            del present[key]
        self._drop_gone(service, now_ms)
        self._gone[service][key] = now_ms

    def note_gone(self, service: str, key: bytes, now_ms: int) -> None:
        """Record that a version without registered servers has served, until now at the latest."""
        self._gone[service][key] = now_ms

    def present(self, service: str) -> frozenset[bytes]:
        """Return the versions of a service that have registered servers."""
        return frozenset(self._present.get(service, ()))

    def all_present(self) -> dict[str, frozenset[bytes]]:
        """Return the versions that have registered servers, by service."""
        return {it: frozenset(keys) for it, keys in self._present.items() if keys}

    def all_known(self, now_ms: int) -> dict[str, frozenset[bytes]]:
        """Return the versions that have registered servers, or had some lately, by service."""
        services = {*self._present, *self._gone}
        for service in services:
            self._drop_gone(service, now_ms)
        return {
            it: frozenset((*self._present.get(it, ()), *self._gone.get(it, ()))) for it in services
        }

    def names_versions(self, service: str) -> bool:
        """Return whether any server of a service has named a version lately."""
        keys = {*self._present.get(service, ()), *self._gone.get(service, ())}
        return any(key != UNKNOWN_VERSION for key in keys)

    def sole(self, service: str, now_ms: int) -> bytes:
        """Return the key of the only version there has been lately.

        :return: ``UNKNOWN_VERSION`` if there were several, or none.
        """
        self._drop_gone(service, now_ms)
        keys = {*self._present.get(service, ()), *self._gone.get(service, ())}
        return keys.pop() if len(keys) == 1 else UNKNOWN_VERSION

    def gone_count(self) -> int:
        """Return how many versions are kept whose last server has gone."""
        return sum(map(len, self._gone.values()))

    def _drop_gone(self, service: str, now_ms: int) -> None:
        gone = self._gone.get(service, {})
        for key, gone_ms in tuple(gone.items()):
            if now_ms - gone_ms >= GONE_VERSION_MS:
                del gone[key]
