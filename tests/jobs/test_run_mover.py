"""Which running items are moved to another engine."""

import unittest
from dataclasses import replace

from runkeel.api.fleet import Backend
from runkeel.api.machines import Address
from runkeel.clock import steady_seconds
from runkeel.gateway.backends import BackendDirectory
from runkeel.gateway.routing import RoutingTable
from runkeel.jobs.engine_placement import EnginePlacement
from runkeel.jobs.engine_speeds import RunSample
from runkeel.jobs.item_task import ItemTask
from runkeel.jobs.job_state import JobState
from runkeel.jobs.length_estimates import LengthEstimates
from runkeel.jobs.run_mover import MIN_SECONDS_BEFORE_MOVE, RunMover
from tests.jobs.test_job_service import make_job
from tests.jobs.test_scheduler import SERVICE, make_configuration

SLOTS = 4


class Run:
    """A run that is generating; records whether it was aborted for a move."""

    def __init__(self, events):
        self.events = events
        self.first_event_at = steady_seconds() - 2 * MIN_SECONDS_BEFORE_MOVE
        self.moved = False

    def loading(self):
        return False

    def abort_for_move(self):
        self.moved = True


class RunMoverTest(unittest.TestCase):
    def setUp(self):
        self.directory = BackendDirectory()
        self.loading = set()
        self.placement = EnginePlacement(self.directory, lambda *key: key in self.loading)
        self.engines = {name: self._engine(name) for name in ("fast", "slow")}
        self.lengths = LengthEstimates()
        self.lengths.observe(1000, 10)
        routing = RoutingTable()
        routing.apply(make_configuration())
        self.mover = RunMover(
            self.placement,
            self.lengths,
            lambda task: routing.match(task.state.job.host, task.item.path),
        )
        self.routing = routing
        self.state = JobState(make_job())

    def _engine(self, name):
        address = Address("127.0.0.1", 1)
        self.directory.put(Backend(name, SERVICE, address, "z", SLOTS, False, {"m": 1}))
        return self.directory.get(name)

    def _learn_speeds(self, **events_per_second):
        for second in (0, 1):
            self.placement._speeds.observe(
                [
                    RunSample(name, id(name), each * second)
                    for name, each in events_per_second.items()
                ],
                steady_seconds() - 1 + second,
            )

    def _running(self, engine, estimated_tokens, events=5):
        item = replace(self.state.job.items[0], estimated_tokens=estimated_tokens)
        task = ItemTask(self.state, item, engine=self.engines[engine], run=Run(events))
        task.partial.pieces.extend("x" * events)
        self.placement.acquire_slot(self.engines[engine])
        return task

    def test_long_item_is_moved_from_a_slower_engine_and_a_short_one_is_not(self):
        self._learn_speeds(fast=40, slow=30)
        long, short = self._running("slow", 10_000), self._running("slow", 1_000)
        self.mover.move_from_slow_engines([short, long])
        self.assertTrue(long.run.moved)
        self.assertIs(long.reserved_engine, self.engines["fast"])
        self.assertFalse(short.run.moved)

    def test_item_that_needs_a_single_version_is_not_moved_to_an_engine_with_another(self):
        configuration = make_configuration()
        route = replace(configuration.routes[0], single_version=True)
        self.routing.apply(replace(configuration, version=2, routes=(route,)))
        self._learn_speeds(fast=40, slow=30)
        self.placement.versions["fast", "m"] = 2
        task = self._running("slow", 10_000)
        task.partial.versions.append(1)
        self.mover.move_from_slow_engines([task])
        self.assertFalse(task.run.moved)
        self.placement.versions["slow", "m"] = 2
        task.partial.versions[:] = [2]
        self.mover.move_from_slow_engines([task])
        self.assertTrue(task.run.moved)

    def test_the_longest_items_get_the_free_slots(self):
        self._learn_speeds(fast=40, slow=30)
        for _ in range(SLOTS - 1):
            self.placement.acquire_slot(self.engines["fast"])
        longer, long = self._running("slow", 15_000), self._running("slow", 10_000)
        self.mover.move_from_slow_engines([long, longer])
        self.assertEqual([longer.run.moved, long.run.moved], [True, False])

    def test_nothing_is_moved_from_an_engine_that_is_about_as_fast(self):
        self._learn_speeds(fast=40, slow=38)
        task = self._running("slow", 10_000)
        self.mover.move_from_slow_engines([task])
        self.assertFalse(task.run.moved)

    def test_short_items_are_moved_from_an_engine_at_the_capped_slowdown(self):
        """Guards against underestimating the gain when the slowdown is capped at MAX_SLOWDOWN."""
        self._learn_speeds(fast=100, slow=3)
        task = self._running("slow", 2_000)
        self.mover.move_from_slow_engines([task])
        self.assertTrue(task.run.moved)

    def test_long_items_are_moved_before_a_load_unless_the_other_engine_is_much_slower(self):
        self._learn_speeds(fast=40, slow=38)
        self.loading.add(("slow", "m"))
        long, short = self._running("slow", 10_000), self._running("slow", 1_000)
        elsewhere = self._running("fast", 10_000)
        self.mover.move_before_load([short, long])
        self.assertEqual(
            [task.run.moved for task in (long, short, elsewhere)], [True, False, False]
        )
        self.loading.clear()
        self._learn_speeds(fast=40, slow=10)
        stays = self._running("fast", 10_000)
        self.mover.move_before_load([stays])
        self.assertFalse(stays.run.moved)


if __name__ == "__main__":
    unittest.main()
