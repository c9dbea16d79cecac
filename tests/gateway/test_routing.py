"""Selection of a route and a service, and versions of the configuration."""

import unittest
from collections import Counter

from runkeel.api.fleet import Route, RouteKind, RoutingConfiguration, ServiceShare
from runkeel.gateway.routing import RoutingTable, choose_service


def make_route(name, prefix, host="h", shares=(("s", 1.0),)):
    services = tuple(ServiceShare(service, weight) for service, weight in shares)
    return Route(name, host, prefix, RouteKind.REPEATABLE, services)


def make_configuration(version, *routes):
    return RoutingConfiguration(version, routes)


class RoutingTableTest(unittest.TestCase):
    def setUp(self):
        self.table = RoutingTable()

    def name_of(self, host, path):
        route = self.table.match(host, path)
        return route.name if route is not None else None

    def test_longest_prefix_of_the_host(self):
        self.table.apply(
            make_configuration(
                1,
                make_route("short", "/p/"),
                make_route("long", "/p/q/"),
                make_route("other", "/p/", host="o"),
            )
        )
        self.assertEqual(self.name_of("h", "/p/q/x"), "long")
        self.assertEqual(self.name_of("h", "/p/x"), "short")
        self.assertEqual(self.name_of("o", "/p/q/x"), "other")
        for host, path in (("h", "/p"), ("h", "/x/p/"), ("unknown", "/p/x")):
            self.assertIsNone(self.name_of(host, path), (host, path))

    def test_nothing_matches_before_the_first_configuration(self):
        self.assertIsNone(self.table.match("h", "/p/x"))
        self.assertIsNone(self.table.in_force)

    def test_version_never_decreases(self):
        self.assertTrue(self.table.apply(make_configuration(5, make_route("new", "/p/"))))
        self.assertFalse(self.table.apply(make_configuration(4, make_route("old", "/p/"))))
        self.assertFalse(self.table.apply(make_configuration(5, make_route("same", "/p/"))))
        self.assertEqual(self.name_of("h", "/p/x"), "new")

    def test_snapshot_keeps_its_version_when_a_newer_one_is_applied(self):
        self.table.apply(make_configuration(1, make_route("before", "/p/")))
        held = self.table.in_force
        self.table.apply(make_configuration(2, make_route("after", "/p/")))
        self.assertEqual(held.match("h", "/p/x").name, "before")
        self.assertEqual(held.configuration.version, 1)
        self.assertEqual(self.name_of("h", "/p/x"), "after")


class ChooseServiceTest(unittest.TestCase):
    def test_shares_follow_the_weights_and_an_id_keeps_its_service(self):
        route = make_route("r", "/p/", shares=(("a", 90.0), ("b", 10.0), ("none", 0.0)))
        chosen = [choose_service(route, f"id-{number}") for number in range(2_000)]
        counts = Counter(chosen)
        self.assertAlmostEqual(counts["a"] / len(chosen), 0.9, delta=0.03)
        self.assertEqual(counts["none"], 0)
        again = [choose_service(route, f"id-{number}") for number in range(2_000)]
        self.assertEqual(chosen, again)

    def test_route_whose_weights_are_all_zero(self):
        route = make_route("r", "/p/", shares=(("a", 0.0),))
        self.assertEqual(choose_service(route, "id"), "a")


if __name__ == "__main__":
    unittest.main()
