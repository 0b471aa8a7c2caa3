"""Finds the route of a request, and the service that it goes to."""

import dataclasses

from kumquatspur.core.routing import Route, RoutingConfig


@dataclasses.dataclass
class RouteTable:
    """Routes of one configuration by host and prefix.

    Attributes:
        config: The configuration.
        by_host: Routes by prefix, by host.
        credits: Smooth weighted round robin, by route and service.
    """

    config: RoutingConfig
    by_host: dict[str, dict[str, Route]] = dataclasses.field(init=False)
    credits: dict[str, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )

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
        total = sum(target.weight for target in route.targets) or 1.0
        credit = self.credits.get(route.name)
        if credit is None:
            # Hosts that start together must not all choose the same target.
            credit = self.credits[route.name] = {}
            for index, target in enumerate(route.targets):
                shift = (start + index / len(route.targets)) % 1.0
                credit[target.service] = shift * target.weight
        for target in route.targets:
            credit[target.service] += target.weight
        service = max(credit, key=credit.__getitem__)
        credit[service] -= total
        return service
