"""Candidates of a service, and selection of a server among them."""

import unittest

from runkeel.api.fleet import Backend
from runkeel.api.machines import Address
from runkeel.clock import steady_seconds
from runkeel.gateway.backends import (
    MAX_CANDIDATES,
    MAX_EJECTION_SECONDS,
    BackendDirectory,
    choose_backend,
)

MANY = 300
SERVICE = "ledger"


def make_backend(name, service=SERVICE, draining=False, zone="here"):
    return Backend(name, service, Address("127.0.0.1", 1), zone, 8, draining, {})


class BackendDirectoryTest(unittest.TestCase):
    def setUp(self):
        self.directory = BackendDirectory()

    def _names(self, tried=()):
        return [one.backend_id for one in self.directory.candidates(SERVICE, tried)]

    def _put_many(self):
        for number in range(MANY):
            self.directory.put(make_backend(f"s{number}"))

    def test_candidates_of_a_small_service_are_all_that_take_new_work(self):
        self.directory.put(make_backend("a"))
        self.directory.put(make_backend("leaving", draining=True))
        self.directory.put(make_backend("other", service="other"))
        self.assertEqual(self._names(), ["a"])

    def test_ejection_time_is_bounded(self):
        """Guards against an overflow of the backoff after 1,024 consecutive failures."""
        self.directory.put(make_backend("a"))
        state = self.directory.get("a")
        for _ in range(5_000):
            state.record_call_failure()
        now = steady_seconds()
        self.assertTrue(state.avoided(now + MAX_EJECTION_SECONDS - 0.1))
        self.assertFalse(state.avoided(now + MAX_EJECTION_SECONDS + 0.1))

    def test_draining_server_is_no_candidate(self):
        self.directory.put(make_backend("a"))
        self.directory.put(make_backend("a", draining=True))
        self.assertEqual(self._names(), [])
        self.directory.remove("a")
        self.assertIsNone(self.directory.get("a"))

    def test_server_that_changes_its_service(self):
        self.directory.put(make_backend("a"))
        self.directory.put(make_backend("a", service="other"))
        self.assertEqual(self._names(), [])

    def test_large_service_has_a_bounded_stable_set_of_candidates(self):
        """Guards against a selection cost that grows with the number of servers."""
        self._put_many()
        names = self._names()
        self.assertEqual(len(set(names)), MAX_CANDIDATES)
        self.assertEqual(self._names(), names)

    def test_candidate_that_leaves_is_replaced(self):
        self._put_many()
        names = self._names()
        self.directory.remove(names[0])
        self.directory.put(make_backend(names[1], draining=True))
        after = self._names()
        self.assertEqual(len(set(after)), MAX_CANDIDATES)
        self.assertFalse({names[0], names[1]} & set(after))
        self.assertEqual(after[: MAX_CANDIDATES - 2], names[2:])

    def test_other_servers_are_sampled_if_no_candidate_is_left(self):
        self._put_many()
        names = self._names()
        self.assertGreater(len(set(self._names(tried=set(names))) - set(names)), 0)
        for name in names:
            self.directory.get(name).record_call_failure()
        state = choose_backend(self.directory.candidates(SERVICE), set(), "here")
        self.assertFalse(state.avoided(steady_seconds()))


class ChooseBackendTest(unittest.TestCase):
    def setUp(self):
        self.directory = BackendDirectory()
        for name, zone in (("near", "here"), ("far", "there")):
            self.directory.put(make_backend(name, zone=zone))

    def _choose(self, tried=()):
        state = choose_backend(self.directory.candidates(SERVICE), set(tried), "here")
        return state.backend_id if state is not None else None

    def test_own_zone_is_preferred_and_no_server_chosen_twice(self):
        self.assertEqual(self._choose(), "near")
        self.assertEqual(self._choose(tried=["near"]), "far")
        self.assertIsNone(self._choose(tried=["near", "far"]))

    def test_load_takes_precedence_over_the_zone(self):
        self.directory.get("near").in_flight = 2
        self.assertEqual(self._choose(), "far")

    def test_failed_server_is_chosen_last(self):
        self.directory.get("near").record_call_failure()
        self.assertEqual(self._choose(), "far")


if __name__ == "__main__":
    unittest.main()
