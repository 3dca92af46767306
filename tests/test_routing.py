"""Tests of the routing table."""

import random
import unittest
from collections import Counter

from cowslipvane.catalogue import Key, Resource, RetryPolicy, Route, Service, Spec, TrafficPolicy
from cowslipvane.catalogue._resources import Target
from cowslipvane.routing import RoutingTable, ServiceRules
from cowslipvane.routing._host_routes import HostRoutes, compile_route
from cowslipvane.types import Header, Headers, ServiceName, Version

DEFAULT_RULES = ServiceRules(ServiceName("s"), RetryPolicy(), TrafficPolicy())


def table(**routes: Route) -> RoutingTable:
    """Return a table of routes and of the services that they refer to."""
    names = {target.service for route in routes.values() for target in route.targets}
    resources = [Resource(Key("service", name), Service(), Version(1)) for name in names]
    resources += [Resource(Key("route", name), spec, Version(1)) for name, spec in routes.items()]
    return RoutingTable(version=Version(1), resources=resources)


def route_to(
    service: str, prefix: str = "/", host: str = "*", method: str = "*", headers: Headers = ()
) -> Route:
    """Return a route to one service."""
    targets = (Target(ServiceName(service)),)
    return Route(targets=targets, path_prefix=prefix, host=host, method=method, headers=headers)


class RoutingTest(unittest.TestCase):
    """Tests of which service a request is routed to."""

    def route(
        self,
        routes: RoutingTable,
        path: str,
        host: str = "shop.example",
        method: str = "GET",
        headers: Headers = (),
    ) -> str:
        """Return the service for a request, or an empty string."""
        rng = random.Random(1)
        rules = routes.route(host=host, path=path, method=method, headers=headers, rng=rng)
        return rules.service if rules else ""

    def test_most_specific_route_wins(self) -> None:
        """Routes are ranked by host, length of the prefix, method, and number of headers."""
        tag = Header("X-Tag", "1")
        routes = table(
            any=route_to("any"),
            host=route_to("host", host="shop.example"),
            prefix=route_to("prefix", "/a/b"),
            method=route_to("method", "/a/b", method="POST"),
            header=route_to("header", "/a/b", headers=(tag,)),
        )
        other = "other.example"
        self.assertEqual(self.route(routes, "/a/b"), "host")
        self.assertEqual(self.route(routes, "/a/c", other), "any")
        self.assertEqual(self.route(routes, "/a/b/c", other), "prefix")
        self.assertEqual(self.route(routes, "/a/b", other, "POST"), "method")
        self.assertEqual(
            self.route(routes, "/a/b", other, headers=(Header("x-tag", "1"),)), "header"
        )
        self.assertEqual(
            self.route(routes, "/a/b", other, headers=(Header("x-tag", "2"),)), "prefix"
        )

    def test_hosts_match_regardless_of_case_port_and_trailing_dot(self) -> None:
        """All spellings of a host match its route."""
        routes = table(
            shop=route_to("shop", host="Shop.Example"), six=route_to("six", host="[2001:db8::1]")
        )
        for host in ("shop.example", "SHOP.example:8080", "shop.example.", "shop.example.:80"):
            self.assertEqual(self.route(routes, "/", host), "shop")
        for host in ("[2001:db8::1]", "[2001:DB8::1]:80"):
            self.assertEqual(self.route(routes, "/", host), "six")
        for host in ("", "example", "shop.example.org", "[2001:db8::2]:80"):
            self.assertEqual(self.route(routes, "/", host), "")

    def test_prefixes_match_whole_segments(self) -> None:
        """A prefix with a trailing slash only matches paths below it."""
        routes = table(stock=route_to("stock", "/stock"), below=route_to("below", "/loading/"))
        for path in ("/stock", "/stock/", "/stock/7", "/stock//7", "/stock?x=1"):
            self.assertEqual(self.route(routes, path), "stock")
        for path in ("/loading/", "/loading/7"):
            self.assertEqual(self.route(routes, path), "below")
        for path in ("/stocks", "/loading", "/", "", "*", "stock", "//stock"):
            self.assertEqual(self.route(routes, path), "")

    def test_paths_are_normalized_before_matching(self) -> None:
        """Encoded letters are decoded, dot segments are resolved, and %2F is no separator."""
        routes = table(stock=route_to("stock", "/stock"), billing=route_to("billing", "/billing"))
        self.assertEqual(self.route(routes, "/%73tock/7"), "stock")
        self.assertEqual(self.route(routes, "/stock%2F7"), "")
        self.assertEqual(self.route(routes, "/stock/../billing/1"), "billing")
        self.assertEqual(self.route(routes, "/stock/%2e%2e/billing/1"), "billing")
        self.assertEqual(self.route(routes, "/../stock"), "stock")
        self.assertEqual(self.route(table(any=route_to("any")), "x%41"), "")

    def test_weights_split_the_requests(self) -> None:
        """A service with weight 0 gets no requests."""
        targets = (
            Target(ServiceName("most"), 3),
            Target(ServiceName("some"), 1),
            Target(ServiceName("none"), 0),
        )
        routes = table(split=Route(targets=targets))
        rng = random.Random(2)
        drawn: Counter[str] = Counter()
        for _ in range(4000):
            rules = routes.route(host="a", path="/", method="GET", headers=(), rng=rng)
            drawn[rules.service if rules else ""] += 1
        self.assertEqual(set(drawn), {"most", "some"})
        self.assertAlmostEqual(drawn["most"] / 4000, 0.75, delta=0.03)

    def test_lookup_agrees_with_a_linear_search(self) -> None:
        """For random routes, the lookup returns the most specific match."""
        rng = random.Random(11)
        for _ in range(200):
            routes = {f"r{index}": self.random_route(rng, index) for index in range(12)}
            lookup = table(**routes)
            for _ in range(20):
                host, path = rng.choice("abc"), self.random_path(rng)
                method = rng.choice(("GET", "POST"))
                expected = self.search(routes, host, path, method)
                self.assertEqual(self.route(lookup, path, host, method), expected)

    def test_table_made_from_a_previous_one_equals_a_rebuilt_one(self) -> None:
        """Each table of random histories reuses what it can of the one before."""
        rng = random.Random(13)
        for _ in range(20):
            resources = self.random_resources(rng)
            previous = RoutingTable(version=Version(1), resources=resources.values())
            for _ in range(20):
                self.change(rng, resources)
                changed = RoutingTable(
                    version=Version(2), resources=resources.values(), previous=previous
                )
                rebuilt = RoutingTable(version=Version(2), resources=resources.values())
                self.assertEqual(self.content(changed), self.content(rebuilt))
                previous = changed

    def random_resources(self, rng: random.Random) -> dict[Key, Resource]:
        """Return policies, services and routes."""
        specs: dict[Key, Spec] = {Key("traffic-policy", name): TrafficPolicy() for name in "pq"}
        for index in range(4):
            specs[Key("service", f"s{index}")] = Service()
            specs[Key("route", f"r{index}")] = self.random_route(rng, index)
        return {key: Resource(key, spec, Version(1)) for key, spec in specs.items()}

    def change(self, rng: random.Random, resources: dict[Key, Resource]) -> None:
        """Write or delete a resource, so that all references stay valid."""
        name = f"r{rng.randrange(8)}"
        spec: Spec
        match rng.choice(("policy", "service", "route", "delete")):
            case "policy":
                key = Key("traffic-policy", rng.choice("pq"))
                spec = TrafficPolicy(max_body_bytes=rng.randrange(9))
            case "service":
                key = Key("service", f"s{rng.randrange(4)}")
                spec = Service(traffic_policy=rng.choice(("", "p", "q")))
            case "route":
                key, spec = Key("route", name), self.random_route(rng, rng.randrange(4))
            case _:
                resources.pop(Key("route", name), None)
                return
        resources[key] = Resource(key, spec, Version(2))

    def content(self, routes: RoutingTable) -> object:
        """Return the routes of each host by prefix, in the order in which they are tried."""
        return {host: vars(host_routes) for host, host_routes in routes._hosts.items()}

    def test_number_of_lookups_is_bounded_by_the_longest_prefix(self) -> None:
        """A path with many slashes does not cause more lookups."""
        routes = HostRoutes()
        routes.add(compile_route("r", route_to("s", "/a/b"), {ServiceName("s"): DEFAULT_RULES}))
        self.assertEqual(list(routes._prefixes("/a/b" + "/" * 1000)), ["/a/b", "/a/", "/a", "/"])

    def random_path(self, rng: random.Random) -> str:
        """Return a random path with few segments, so that many paths share a prefix."""
        parts = [rng.choice(("x", "y", "xy", "")) for _ in range(rng.randint(0, 3))]
        return "/" + "/".join(parts)

    def random_route(self, rng: random.Random, index: int) -> Route:
        """Return a random route to a service that no other route uses."""
        host, method = rng.choice(("*", "a", "b")), rng.choice(("*", "GET"))
        return route_to(f"s{index}", self.random_path(rng), host, method)

    def search(self, routes: dict[str, Route], host: str, path: str, method: str) -> str:
        """Return the service of the most specific matching route by a linear search."""
        matching = [
            (spec.host == "*", -len(spec.path_prefix), spec.method == "*", name, spec)
            for name, spec in routes.items()
            if spec.host in ("*", host) and spec.method in ("*", method)
            if path == spec.path_prefix or path.startswith(spec.path_prefix.rstrip("/") + "/")
            if path.startswith(spec.path_prefix)
        ]
        return min(matching)[4].targets[0].service if matching else ""


if __name__ == "__main__":
    unittest.main()
