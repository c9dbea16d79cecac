"""The choice of an engine: slots, versions, groups, speed."""

import unittest
from unittest import mock

from runkeel.api.fleet import Backend
from runkeel.api.machines import Address
from runkeel.clock import steady_seconds
from runkeel.gateway.backends import BackendDirectory
from runkeel.jobs import engine_placement
from runkeel.jobs.engine_placement import MAX_CANDIDATES, EnginePlacement
from runkeel.jobs.engine_speeds import RunSample
from tests.jobs.test_job_service import make_job

SERVICE = "engines"


class EnginePlacementTest(unittest.TestCase):
    def setUp(self):
        self.directory = BackendDirectory()
        self.loading = set()
        self.placement = EnginePlacement(self.directory, lambda *key: key in self.loading)
        self.job = make_job()

    def _engine(self, backend_id, version=1, slots=2, draining=False):
        address = Address("127.0.0.1", 1)
        versions = {"m": version}
        self.directory.put(Backend(backend_id, SERVICE, address, "z", slots, draining, versions))
        return self.directory.get(backend_id)

    def _choose(self, item=0):
        chosen = self.placement.choose(self.job, self.job.items[item], SERVICE)
        return chosen.backend_id if chosen is not None else None

    def test_engine_with_the_fewest_used_slots_is_chosen(self):
        first = self._engine("a")
        self._engine("b")
        self.placement.acquire_slot(first)
        self.assertEqual(self._choose(), "b")

    def test_full_engines_are_not_chosen(self):
        engine = self._engine("a")
        self.placement.acquire_slot(engine)
        self.placement.acquire_slot(engine)
        self.assertIsNone(self._choose())
        self.placement.release_slot(engine)
        self.assertEqual(self._choose(), "a")

    def test_engines_with_old_weights_loading_or_draining_are_not_chosen(self):
        self._engine("old", version=0)
        self._engine("leaving", draining=True)
        self._engine("loading")
        self.loading.add(("loading", "m"))
        self.assertIsNone(self._choose())
        self.placement.versions["old", "m"] = 1
        self.assertEqual(self._choose(), "old")

    def test_engine_that_failed_is_avoided_for_a_while(self):
        self._engine("a").record_call_failure()
        self.assertIsNone(self._choose())

    def test_items_of_a_group_share_an_engine(self):
        engines = [self._engine(name, slots=8) for name in ("a", "b", "c")]
        self.placement.acquire_slot(engines[2])
        self.placement.record_group(self.job, self.job.items[0], engines[2])
        self.assertEqual(self._choose(1), "c")
        self.assertNotEqual(self._choose(2), "c")

    def test_only_a_sample_of_many_engines_is_considered(self):
        """Guards against a choice whose cost grows with the size of the fleet."""
        for number in range(10 * MAX_CANDIDATES):
            self._engine(f"e{number}")
        considered = mock.Mock(wraps=self.placement.usable)
        with mock.patch.object(self.placement, "usable", considered):
            self.assertIsNotNone(self._choose())
        self.assertLessEqual(considered.call_count, MAX_CANDIDATES + 1)

    def test_the_only_engine_with_a_free_slot_among_many_is_found(self):
        engines = [self._engine(f"e{number}", slots=1) for number in range(10 * MAX_CANDIDATES)]
        for engine in engines:
            self.placement.acquire_slot(engine)
        self.assertIsNone(self._choose())
        self.placement.release_slot(engines[7])
        self.assertEqual(self._choose(), "e7")

    def test_items_of_a_group_share_an_engine_among_many(self):
        engines = [self._engine(f"e{number}", slots=8) for number in range(10 * MAX_CANDIDATES)]
        self.placement.record_group(self.job, self.job.items[0], engines[7])
        self.assertEqual(self._choose(1), "e7")

    def test_engine_that_joins_or_leaves_takes_effect_at_once(self):
        first = self._engine("a", slots=1)
        self.placement.acquire_slot(first)
        self.assertIsNone(self._choose())
        self._engine("b", slots=1)
        self.assertEqual(self._choose(), "b")
        self._engine("b", slots=1, draining=True)
        self.assertIsNone(self._choose())
        self.placement.release_slot(first)
        self.directory.remove("a")
        self.assertIsNone(self._choose())

    def _observe_speeds(self, **events):
        clock = mock.patch.object(engine_placement, "steady_seconds")
        now = steady_seconds()
        with clock as steady:
            for second in (0.0, 1.0):
                steady.return_value = now + second
                self.placement.observe(
                    RunSample(name, index, int(count * second))
                    for index, (name, count) in enumerate(events.items())
                )

    def test_long_items_avoid_slower_engines_more_than_short_ones(self):
        fast, slow = self._engine("fast", slots=8), self._engine("slow", slots=8)
        self._observe_speeds(fast=40, slow=30)
        self.placement.acquire_slot(fast)
        self.placement.acquire_slot(fast)
        item = self.job.items[0]
        choose = self.placement.choose
        self.assertIs(choose(self.job, item, SERVICE, relative_length=0.2), slow)
        self.assertIs(choose(self.job, item, SERVICE, relative_length=4.0), fast)

    def test_long_items_avoid_engines_that_load_next(self):
        old, new = self._engine("old", version=1, slots=8), self._engine("new", 2, slots=8)
        self.placement.acquire_slot(new)
        item = self.job.items[0]
        choose = self.placement.choose
        self.assertIs(choose(self.job, item, SERVICE, relative_length=0.5), old)
        self.assertIs(choose(self.job, item, SERVICE, relative_length=3.0), new)

    def test_excluded_engine_is_not_chosen(self):
        first, second = self._engine("a"), self._engine("b")
        self.placement.acquire_slot(second)
        item = self.job.items[0]
        self.assertIs(self.placement.choose(self.job, item, SERVICE, exclude=first), second)

    def test_seconds_gained_at_another_engine(self):
        fast, slow, fair = self._engine("fast"), self._engine("slow"), self._engine("fair")
        self._observe_speeds(fast=40, slow=20, fair=38)
        gained = self.placement.seconds_gained
        self.assertAlmostEqual(gained(slow, fast, 100), 2.5)
        self.assertAlmostEqual(gained(fast, slow, 100), -2.5)
        self.assertEqual(gained(fair, fast, 100), 0.0)


if __name__ == "__main__":
    unittest.main()
