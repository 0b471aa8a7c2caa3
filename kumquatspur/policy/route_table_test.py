import collections
import unittest

from kumquatspur.core.routing import (
    ClientLimits,
    Route,
    RoutingConfig,
    WeightedService,
)
from kumquatspur.policy.route_table import RouteTable


def route(name, host, prefix, targets=()):
    return Route(
        name, host, prefix, True, 1.0, 0.1, 2, 1,
        targets=tuple(WeightedService(*target) for target in targets),
    )  # fmt: skip


def table(*routes):
    return RouteTable(RoutingConfig(1, routes, {}, ClientLimits()))


class RouteTableTest(unittest.TestCase):
    def test_longest_prefix_wins(self):
        routes = table(
            route("all", "h", "/"),
            route("a", "h", "/a/"),
            route("ab", "h", "/a/b/"),
        )
        for path, name in {
            "/a/b/c": "ab",
            "/a/b/": "ab",
            "/a/b": "a",
            "/a/": "a",
            "/a": "all",
            "/x/y/z": "all",
        }.items():
            self.assertEqual(routes.find("h", path).name, name, path)

    def test_no_route(self):
        routes = table(route("a", "h", "/a/"))
        self.assertIsNone(routes.find("h", "/b/"))
        self.assertIsNone(routes.find("h", "/ab/"))
        self.assertIsNone(routes.find("other", "/a/"))

    def test_requests_are_divided_by_weight(self):
        chosen = route("a", "h", "/a/", (("s", 7.0), ("t", 3.0)))
        for start in (0.0, 0.4, 0.99):
            routes = table(chosen)
            counts = collections.Counter(
                routes.choose_service(chosen, start) for _ in range(100)
            )
            self.assertAlmostEqual(counts["s"], 70, delta=3)

    def test_few_requests_a_host_are_divided_by_weight_over_all_hosts(self):
        chosen = route("a", "h", "/a/", (("s", 9.0), ("t", 1.0)))
        counts = collections.Counter()
        for host in range(100):
            routes = table(chosen)
            for _ in range(3):
                counts[routes.choose_service(chosen, host / 100)] += 1
        self.assertAlmostEqual(counts["t"] / 300, 0.1, delta=0.05)

    def test_target_without_weight_gets_nothing(self):
        chosen = route("a", "h", "/a/", (("s", 1.0), ("t", 0.0)))
        routes = table(chosen)
        found = {routes.choose_service(chosen, 0.5) for _ in range(20)}
        self.assertEqual(found, {"s"})


if __name__ == "__main__":
    unittest.main()
