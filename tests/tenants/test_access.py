"""Tests of authentication by key, key digests and the ranks of tenants."""

import unittest

from runkeel.api.fleet import Route, RouteKind, RoutingConfiguration
from runkeel.errors import ErrorCode, RunkeelError, Verdict
from runkeel.gateway.routing import RoutingSnapshot
from runkeel.tenants.access import NO_TENANT, calling_tenant
from runkeel.tenants.directory import Tenant, TenantDirectory
from runkeel.tenants.keys import key_digest

KEY = "timaj3nr26tta828m82t"


def directory():
    return TenantDirectory(
        [
            Tenant("parish", 1, (key_digest(KEY), key_digest("second"))),
            Tenant("school", None, (key_digest("third"),)),
        ]
    )


class CallingTenantTest(unittest.TestCase):
    def test_tenant_of_a_key(self):
        for header in (f"Bearer {KEY}", f"bearer {KEY}", f"  Bearer   {KEY} "):
            with self.subTest(header):
                self.assertEqual(calling_tenant(directory(), [header]), "parish")
        self.assertEqual(calling_tenant(directory(), ["Bearer third"]), "school")

    def test_invalid_credentials_are_rejected_before_running(self):
        for headers in (
            [],
            [""],
            ["Bearer"],
            ["Bearer "],
            [KEY],
            [f"Basic {KEY}"],
            [f"Bearer {KEY} {KEY}"],
            [f"Bearer {KEY}", f"Bearer {KEY}"],
            ["Bearer unknown"],
            [f"Bearer {key_digest(KEY)}"],
        ):
            with self.subTest(headers), self.assertRaises(RunkeelError) as caught:
                calling_tenant(directory(), headers)
            self.assertEqual(caught.exception.code, ErrorCode.UNAUTHORIZED)
            self.assertEqual(caught.exception.http_status, 401)
            self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)
            self.assertNotIn(KEY, str(caught.exception))

    def test_public_route_or_configuration_without_tenants_needs_no_key(self):
        self.assertEqual(calling_tenant(directory(), [], public=True), NO_TENANT)
        self.assertEqual(calling_tenant(directory(), ["Bearer x"], public=True), NO_TENANT)
        self.assertEqual(calling_tenant(None, []), NO_TENANT)

    def test_digest_does_not_contain_the_key(self):
        self.assertNotIn(KEY, key_digest(KEY))
        self.assertNotEqual(key_digest(KEY), key_digest(KEY + "x"))


class RankTest(unittest.TestCase):
    def test_rank_of_the_tenant_overrides_that_of_the_route(self):
        route = Route("r", "h", "/", RouteKind.BATCH, (), rank=5)
        with_tenants = RoutingSnapshot(RoutingConfiguration(1, (route,), tenants=directory()))
        self.assertEqual(with_tenants.rank(route, "parish"), 1)
        self.assertEqual(with_tenants.rank(route, "school"), 5)
        self.assertEqual(with_tenants.rank(route, "gone"), 5)
        without = RoutingSnapshot(RoutingConfiguration(1, (route,)))
        self.assertEqual(without.rank(route, "parish"), 5)


if __name__ == "__main__":
    unittest.main()
