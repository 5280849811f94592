"""Which route a request takes: the longest path prefix among those of its host."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

from hickorybeam.model.routing import Route

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ("PrefixTable", "RouteTable", "pick_target")


class Placed(Protocol):
    """Whatever takes the requests of a host under a path prefix."""

    @property
    def host(self) -> str:
        """The host that callers ask for, in lower case."""
        ...

    @property
    def prefix(self) -> str:
        """What its paths begin with, a slash at both ends."""
        ...


T = TypeVar("T", bound=Placed)


class PrefixTable(Generic[T]):
    """Routes by host and prefix.

    Every prefix begins and ends with a slash, so a path has as many candidates as it has
    slashes: the cost of a look-up doesn't grow with the number of routes (some hundreds are
    added at once), which a scan would make every request pay.
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
    """Routes of the gateway, with the homes of each host."""

    def __init__(self, routes: Iterable[Route]) -> None:
        super().__init__(routes)
        bound: defaultdict[str, Counter[str]] = defaultdict(Counter)
        for route in self._routes.values():
            bound[route.host].update(route.homes)
        self._homes = {
            host: tuple(sorted(regions, key=lambda it: (-regions[it], it)))
            for host, regions in bound.items()
        }

    def homes(self, host: str) -> tuple[str, ...]:
        """Return the regions that a host's routes are bound to, those of most routes first.

        Empty where none of its routes has homes.
        """
        return self._homes.get(host, ())


def pick_target(route: Route, draw: float) -> str:
    """Return the service that gets a request.

    :param draw: a number from 0 up to 1, drawn evenly.
    """
    total = sum(target.weight for target in route.targets)
    mark = draw * total
    for target in route.targets:
        mark -= target.weight
        if mark < 0:
            return target.service
    return route.targets[-1].service
