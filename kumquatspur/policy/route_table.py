"""Finds the route of a request and the service that it is sent to."""

import dataclasses
import math

from kumquatspur.core.routing import Route, RoutingConfig
from kumquatspur.policy.account_keys import AccountKeys

# Fractional part of the golden ratio. Steps of this size, modulo 1, spread
# evenly over [0, 1) even if they are few.
GOLDEN_RATIO_STEP = (math.sqrt(5.0) - 1.0) / 2.0


@dataclasses.dataclass
class RouteTable:
    """Routes of one configuration by host and prefix.

    Attributes:
        config: The configuration.
        by_host: For each host name in requests, its routes by path prefix.
        positions: For each route, the position in [0, 1) of its last choice of
            a service.
        services: All services of the routes.
        keys: Keys of the client accounts; None if requests need none.
    """

    config: RoutingConfig
    by_host: dict[str, dict[str, Route]] = dataclasses.field(init=False)
    positions: dict[str, float] = dataclasses.field(default_factory=dict)
    services: frozenset[str] = dataclasses.field(init=False)
    keys: AccountKeys | None = None

    def __post_init__(self):
        self.by_host = {}
        if self.config.accounts is not None:
            self.keys = AccountKeys(self.config.accounts)
        self.services = frozenset(
            service
            for route in self.config.routes
            for service in route.services()
        )
        for route in self.config.routes:
            self.by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that matches a path."""
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
        """Chooses the service for a request by the weights of the targets.

        Args:
            route: A route with targets.
            start: Initial position in [0, 1). It should differ between entry
                hosts, so that their first choices follow the weights as well.

        Returns:
            The service.
        """
        if len(route.targets) == 1:
            return route.targets[0].service
        position = (
            self.positions.get(route.name, start) + GOLDEN_RATIO_STEP
        ) % 1.0
        self.positions[route.name] = position
        remaining = position * sum(target.weight for target in route.targets)
        for target in route.targets:
            remaining -= target.weight
            if remaining < 0:
                return target.service
        return route.targets[-1].service
