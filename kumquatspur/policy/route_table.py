"""Finds the route of a request, and the service that it goes to."""

import dataclasses
import math

from kumquatspur.core.routing import Route, RoutingConfig

# Fractional part of the golden ratio.
STEP = (math.sqrt(5.0) - 1.0) / 2.0


@dataclasses.dataclass
class RouteTable:
    """Routes of one configuration by host and prefix.

    Attributes:
        config: The configuration.
        by_host: Routes by prefix, by host.
        positions: Where in [0, 1) the last choice of a service was, by route.
    """

    config: RoutingConfig
    by_host: dict[str, dict[str, Route]] = dataclasses.field(init=False)
    positions: dict[str, float] = dataclasses.field(default_factory=dict)

    def __post_init__(self):
        self.by_host = {}
        for route in self.config.routes:
            self.by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path."""
        routes = self.by_host.get(host)
        if not routes:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def choose_service(self, route: Route, start: float) -> str:
        """Divides requests among the targets of a route by weight.

        Args:
            route: A route with targets.
            start: Number in [0, 1) that spreads the first choices of hosts.

        Returns:
            The service.
        """
        if len(route.targets) == 1:
            return route.targets[0].service
        # Steps of the golden ratio spread evenly over [0, 1), however few.
        position = (self.positions.get(route.name, start) + STEP) % 1.0
        self.positions[route.name] = position
        mark = position * sum(target.weight for target in route.targets)
        for target in route.targets:
            mark -= target.weight
            if mark < 0:
                return target.service
        return route.targets[-1].service
