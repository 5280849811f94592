"""Find the route of a request: the longest path prefix among the routes of its host."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

from hickorybeam.model.routing import Route

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ("PrefixTable", "RouteTable", "pick_target")


class PrefixRoute(Protocol):
    """Anything that takes the requests of a host under a path prefix."""

    @property
    def host(self) -> str:
        """The requests' host, in lower case."""
        ...

    @property
    def prefix(self) -> str:
        """The path prefix, with a slash at both ends."""
        ...


T = TypeVar("T", bound=PrefixRoute)


class PrefixTable(Generic[T]):
    """Routes by host and path prefix.

    Every prefix begins and ends with a slash, so a path has as many candidates as it has
    slashes. The cost of a look-up doesn't grow with the number of routes, as that of a scan
    would: some hundreds of routes are added at once.
    """

    def __init__(self, routes: Iterable[T]) -> None:
        self._routes = {(route.host, route.prefix): route for route in routes}

    def match(self, host: str, path: str) -> T | None:
        """Return the route of a path, or ``None``."""
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None


class RouteTable(PrefixTable[Route]):
    """Routes of the gateway, with the home regions of each host."""

    def __init__(self, routes: Iterable[Route]) -> None:
        super().__init__(routes)
        route_counts: defaultdict[str, Counter[str]] = defaultdict(Counter)
        for route in self._routes.values():
            route_counts[route.host].update(route.homes)
        self._homes = {
            host: tuple(sorted(counts, key=lambda it: (-counts[it], it)))
            for host, counts in route_counts.items()
        }

    def homes(self, host: str) -> tuple[str, ...]:
        """Return the home regions of a host's routes, those of most routes first.

        Empty if none of its routes has home regions.
        """
        return self._homes.get(host, ())


def pick_target(route: Route, fraction: float) -> str:
    """Return the service that gets a request.

    :param fraction: random number, evenly distributed from 0 up to 1.
    """
    total = sum(target.weight for target in route.targets)
    remaining = fraction * total
    for target in route.targets:
        remaining -= target.weight
        if remaining < 0:
            return target.service
    return route.targets[-1].service
