"""The scheduler: slot accounting, partial outputs, items without a route."""

import unittest
from dataclasses import replace
from unittest import mock

import gevent

from runkeel.api.fleet import (
    Backend,
    Route,
    RouteKind,
    RoutingConfiguration,
    ServiceDescription,
    ServiceShare,
)
from runkeel.api.jobs import ItemResult, ResultState
from runkeel.api.machines import Address
from runkeel.backends.http_connection import OutgoingRequest
from runkeel.clock import steady_seconds
from runkeel.gateway.backends import REFUSAL_BACKOFF_SECONDS, BackendDirectory
from runkeel.gateway.routing import RoutingTable
from runkeel.jobs import scheduler
from runkeel.jobs.engine_placement import EnginePlacement
from runkeel.jobs.generation_run import PartialOutput, RunOutcome
from runkeel.jobs.item_task import ItemTask
from runkeel.jobs.job_state import JobState
from runkeel.jobs.scheduler import (
    MIN_EVENTS_AHEAD,
    REQUEUE_DELAY_SECONDS,
    STARTS_PER_YIELD,
    UNKNOWN_ITEM_GRACE_SECONDS,
    Scheduler,
)
from tests.jobs.test_job_service import JOB_ID, make_job
from tests.standalone_quarantine import standalone_quarantine

SERVICE = "engines"
DEAD_ADDRESS = Address("127.0.0.1", 1)
MAX_WAIT_SECONDS = 5.0


def make_configuration(kind=RouteKind.BATCH, prefix="/allocation/"):
    route = Route(
        "r",
        "models.example",
        prefix,
        kind,
        (ServiceShare(SERVICE, 1.0),),
        max_queue_seconds=60.0,
    )
    return RoutingConfiguration(1, (route,), {SERVICE: ServiceDescription(SERVICE)})


class UnusedProtocol:
    """Fails if a request is encoded."""

    def encode_generation(self, request, backend, remaining):
        raise AssertionError("not reached: the greenlet is killed before it begins")


class EncodingProtocol:
    """Encodes requests, which then fail because the engine's address has no listener."""

    def encode_generation(self, request, backend, remaining):
        return OutgoingRequest("POST", request.path, [], request.body)


class SilentProtocol:
    """Blocks before any request is sent."""

    def encode_generation(self, request, backend, remaining):
        gevent.sleep(60.0)


class SchedulerTest(unittest.TestCase):
    def setUp(self):
        self.directory = BackendDirectory()
        self.directory.put(Backend("e", SERVICE, DEAD_ADDRESS, "z", 8, False, {"m": 1}))
        self.placement = EnginePlacement(self.directory, lambda *key: False)
        self.routing = RoutingTable()
        self.configuration_confirmed_at = None
        self.scheduler = Scheduler(
            self.placement,
            self.routing,
            UnusedProtocol(),
            None,
            lambda *key: False,
            standalone_quarantine(),
            configuration_confirmed_at=lambda: (
                self.configuration_confirmed_at or scheduler.steady_seconds()
            ),
        )
        self.state = JobState(make_job())

    def _use_protocol(self, protocol):
        self.scheduler = Scheduler(
            self.placement,
            self.routing,
            protocol,
            None,
            lambda *key: False,
            standalone_quarantine(),
        )
        self.addCleanup(self.scheduler.stop)

    def _wait_for_run(self, item_id):
        """Return a placed item's task once its greenlet has started the run."""
        task = self.scheduler._running.of_item(item_id)
        deadline = steady_seconds() + MAX_WAIT_SECONDS
        while task.run is None:
            self.assertLess(steady_seconds(), deadline, "the run did not start")
            gevent.sleep(0.001)
        return task

    def test_engine_that_refuses_connections_is_avoided_for_longer_than_a_full_one(self):
        """Guards against retrying items on dead engines as often as on full ones."""
        self.routing.apply(make_configuration())
        self._use_protocol(EncodingProtocol())
        self.scheduler.start()
        self.scheduler.add(self.state)
        engine = self.directory.get("e")
        deadline = steady_seconds() + MAX_WAIT_SECONDS
        while not engine.failures:
            self.assertLess(steady_seconds(), deadline)
            gevent.sleep(0.01)
        self.assertTrue(engine.avoided(steady_seconds() + REFUSAL_BACKOFF_SECONDS))

    def test_queued_item_resumes_from_the_longer_output(self):
        item_id = f"{JOB_ID}-0"
        self.assertTrue(self.scheduler.needs_output(item_id, (1, 2)))
        self.scheduler.add(self.state)
        self.scheduler.adopt_output(item_id, PartialOutput(["x", "y"], "2", [1]))
        self.scheduler.adopt_output(item_id, PartialOutput(["z"], "1", [1]))
        self.assertEqual(self.scheduler.open_outputs()[item_id].pieces, ["x", "y"])
        self.assertFalse(self.scheduler.needs_output(item_id, (1, 2)))

    def test_output_of_a_version_that_the_job_does_not_accept_is_ignored(self):
        self.scheduler.add(self.state)
        self.scheduler.adopt_output(f"{JOB_ID}-0", PartialOutput(["x"], "1", [0]))
        self.assertEqual(self.scheduler.open_outputs(), {})

    def test_longer_output_of_older_weights_does_not_replace_a_newer_one(self):
        """Guards against restarting an item because a stale copy of its output is longer."""
        item_id = f"{JOB_ID}-0"
        self.scheduler.restore_outputs({item_id: PartialOutput(["x"], "1", [1])})
        stale = PartialOutput(["a", "b", "c"], "3", [0], True)
        self.assertFalse(self.scheduler.needs_output(item_id, stale.precedence))
        self.scheduler.adopt_output(item_id, stale)
        self.scheduler.add(self.state)
        self.assertEqual(self.scheduler.open_outputs()[item_id].pieces, ["x"])

    def test_running_item_resumes_from_an_output_that_is_far_ahead(self):
        """Partial outputs may arrive after their items have been restarted from the beginning."""
        self._use_protocol(SilentProtocol())
        self.routing.apply(make_configuration())
        self.scheduler.add(self.state)
        self.scheduler._place_all()
        item_id = f"{JOB_ID}-0"
        task = self._wait_for_run(item_id)
        near = PartialOutput(["x"] * (MIN_EVENTS_AHEAD - 1), "7", [1])
        self.assertFalse(self.scheduler.needs_output(item_id, near.precedence))
        far = PartialOutput(["x"] * MIN_EVENTS_AHEAD, "8", [1])
        self.assertTrue(self.scheduler.needs_output(item_id, far.precedence))
        with mock.patch.object(task, "run") as run:
            self.scheduler.adopt_output(item_id, far)
            run.abort_for_move.assert_called_once_with()
            self.assertFalse(self.scheduler.needs_output(item_id, far.precedence))
        self.scheduler._handle_incomplete_run(task, self.scheduler._route(task), RunOutcome.MOVED)
        self.assertIs(self.scheduler._queue.of_item(item_id).partial, far)

    def test_running_item_does_not_resume_from_an_output_of_older_weights(self):
        self._use_protocol(SilentProtocol())
        self.routing.apply(make_configuration())
        self.scheduler.add(self.state)
        self.scheduler._place_all()
        task = self._wait_for_run(f"{JOB_ID}-0")
        task.partial.pieces.append("x")
        task.partial.versions.append(2)
        self.assertFalse(self.scheduler.needs_output(f"{JOB_ID}-0", (1, 50)))

    def test_output_that_arrives_before_its_job_is_used(self):
        self.scheduler.adopt_output(f"{JOB_ID}-1", PartialOutput(["x"], "1", [1]))
        self.scheduler.add(self.state)
        self.assertEqual(list(self.scheduler.open_outputs()), [f"{JOB_ID}-1"])

    def test_output_of_an_unknown_item_is_accepted_only_for_a_while_after_the_start(self):
        self.assertTrue(self.scheduler.needs_output("other", (1, 2)))
        self.scheduler._loading_since -= UNKNOWN_ITEM_GRACE_SECONDS
        self.assertFalse(self.scheduler.needs_output("other", (1, 2)))
        self.scheduler.add(self.state)
        self.assertTrue(self.scheduler.needs_output(f"{JOB_ID}-0", (1, 2)))

    def test_output_of_a_finished_item_is_open_until_its_result_is_listed(self):
        task = ItemTask(self.state, self.state.job.items[0], PartialOutput(["x"], "1", [1], True))
        result = ItemResult(f"{JOB_ID}-0", ResultState.COMPLETED, "x", (1,), "score")
        self.scheduler._finish(task, result)
        self.assertEqual(list(self.scheduler.open_outputs()), [f"{JOB_ID}-0"])
        self.assertFalse(self.scheduler.is_result_listed(f"{JOB_ID}-0"))
        self.state.append_segment(list(self.state.unlisted))
        self.assertEqual(self.scheduler.open_outputs(), {})
        self.assertTrue(self.scheduler.is_result_listed(f"{JOB_ID}-0"))
        self.scheduler.add(JobState(make_job()))
        self.assertFalse(self.scheduler.is_result_listed(f"{JOB_ID}-0"))

    def test_without_a_configuration_items_wait(self):
        """Guards against failing items for a missing route before any configuration is loaded."""
        self.scheduler.start()
        self.addCleanup(self.scheduler.stop)
        self.scheduler.add(self.state)
        gevent.sleep(0.6)
        self.assertEqual(self.state.unlisted, [])

    def test_items_without_a_route_fail_only_after_the_timeout(self):
        self.routing.apply(make_configuration(prefix="/other/"))
        self.scheduler.add(self.state)
        self.scheduler._place_all()
        self.assertEqual(self.state.unlisted, [])
        for task in self.scheduler._queue.tasks():
            task.route_missing_since = steady_seconds() - 60.0
        self.scheduler._place_all()
        self.assertEqual(len(self.state.unlisted), len(self.state.items))

    def test_items_do_not_fail_on_a_configuration_that_the_store_has_not_confirmed(self):
        """Guards against failing items of a route that only a newer configuration has."""
        self.configuration_confirmed_at = steady_seconds()
        self.routing.apply(make_configuration(prefix="/other/"))
        self.scheduler.add(self.state)
        self.scheduler._place_all()
        for task in self.scheduler._queue.tasks():
            task.route_missing_since = self.configuration_confirmed_at - 1.0
        later = steady_seconds() + 60.0
        with mock.patch.object(scheduler, "steady_seconds", lambda: later):
            self.scheduler._place_all()
            self.assertEqual(self.state.unlisted, [])
            self.configuration_confirmed_at = later
            self.scheduler._place_all()
        self.assertEqual(len(self.state.unlisted), len(self.state.items))

    def test_time_without_a_route_does_not_add_up_over_configurations(self):
        """Guards against failing items at once when their route is removed a second time."""
        missing = make_configuration(prefix="/other/")
        self.routing.apply(missing)
        self.scheduler.add(self.state)
        self.scheduler._place_all()
        for task in self.scheduler._queue.tasks():
            task.route_missing_since = steady_seconds() - 4.0
        self.directory.put(Backend("e", SERVICE, DEAD_ADDRESS, "z", 8, True, {"m": 1}), 2)
        self.routing.apply(replace(make_configuration(), version=2))
        self.scheduler._place_all()
        self.routing.apply(replace(missing, version=3))
        later = steady_seconds() + 2.0
        with mock.patch.object(scheduler, "steady_seconds", lambda: later):
            self.scheduler._place_all()
        self.assertEqual(self.state.unlisted, [])

    def test_slots_of_items_killed_before_they_start_are_released(self):
        self.routing.apply(make_configuration())
        self.scheduler.add(self.state)
        self.scheduler._place_all()
        self.assertEqual(self.placement.slots_in_use("e"), len(self.state.items))
        self.state.end()
        self.scheduler.drop(self.state)
        gevent.sleep(0.05)
        self.assertEqual(self.placement.slots_in_use("e"), 0)
        self.assertEqual(list(self.scheduler._running), [])

    def test_reserved_slot_of_an_ended_job_is_released(self):
        self.routing.apply(make_configuration())
        self.scheduler.add(self.state)
        engine = self.directory.get("e")
        self.placement.acquire_slot(engine)
        task = self.scheduler._queue.tasks()[0]
        task.reserved_engine = engine
        self.scheduler._queue.put(task)
        self.state.end()
        self.scheduler._place_all()
        self.assertEqual(self.placement.slots_in_use("e"), 0)

    def test_output_of_a_dropped_job_is_resumed_when_the_job_is_added_again(self):
        self.scheduler.add(self.state)
        task = self.scheduler._queue.tasks()[0]
        output = task.partial
        output.pieces.append("x")
        output.versions.append(1)
        item_id = task.item.item_id
        self.scheduler.drop(self.state)
        self.scheduler.add(JobState(make_job()))
        task = self.scheduler._queue.of_item(item_id)
        self.assertTrue(task.resumed)
        self.assertIs(task.partial, output)

    def test_output_of_older_weights_is_not_resumed(self):
        old = PartialOutput(["x"], "1", [0])
        self.scheduler.restore_outputs({f"{JOB_ID}-0": old})
        self.scheduler.add(self.state)
        self.assertEqual(self.scheduler._queue.of_item(f"{JOB_ID}-0").partial.pieces, [])

    def _use_single_version_engines(self, **versions):
        """Use a route that needs one version, and engines that are said to have these versions."""
        self._use_protocol(SilentProtocol())
        configuration = make_configuration()
        route = replace(configuration.routes[0], single_version=True)
        self.routing.apply(replace(configuration, routes=(route,)))
        self.directory.remove("e")
        for name, version in versions.items():
            backend = Backend(name, SERVICE, DEAD_ADDRESS, "z", 8, False, {"m": version})
            self.directory.put(backend)
        self.state = JobState(make_job(items=1))
        self.scheduler.restore_outputs({f"{JOB_ID}-0": PartialOutput(["x"], "1", [2])})
        self.scheduler.add(self.state)
        self.scheduler._place_all()
        return self._wait_for_run(f"{JOB_ID}-0")

    def test_output_is_discarded_if_no_engine_has_the_single_version_that_it_needs(self):
        """Guards against an item that is sent and broken off without end."""
        task = self._use_single_version_engines(newer=3)
        self.assertEqual((task.partial.pieces, task.partial.last_event_id), ([], None))

    def test_output_is_continued_by_an_engine_with_the_single_version_that_it_needs(self):
        names = {f"newer-{number}": 3 for number in range(5)}
        task = self._use_single_version_engines(**names, same=2)
        self.assertEqual((task.engine.backend_id, task.partial.pieces), ("same", ["x"]))

    def test_output_is_discarded_after_a_run_that_could_not_continue_its_version(self):
        task = self._use_single_version_engines(stale=2)
        route = self.scheduler._route(task)
        self.assertEqual(task.partial.pieces, ["x"])
        self.scheduler._handle_incomplete_run(task, route, RunOutcome.OLD_VERSION, True)
        self.assertEqual(task.partial.pieces, ["x"])
        task.engine = self.directory.get("stale")
        self.scheduler._handle_incomplete_run(task, route, RunOutcome.OLD_VERSION, False)
        self.assertEqual(task.partial.pieces, [])

    def test_run_is_not_aborted_for_an_output_that_no_engine_can_continue(self):
        """Guards against a run that is aborted again and again for the same old output."""
        task = self._use_single_version_engines(newer=3)
        output = PartialOutput(["x"] * (MIN_EVENTS_AHEAD + 1), "9", [2])
        self.scheduler.adopt_output(f"{JOB_ID}-0", output)
        self.assertIsNone(task.better_output)

    def test_item_whose_run_raises_an_unforeseen_error_is_run_again(self):
        """Guards against an item that ends without a result."""
        self.routing.apply(make_configuration())
        self.state = JobState(make_job(items=1))
        self.scheduler.add(self.state)
        item_id = f"{JOB_ID}-0"
        # UnusedProtocol raises an AssertionError for each run.
        for _ in range(3):
            self.scheduler._place_all()
            deadline = steady_seconds() + MAX_WAIT_SECONDS
            while self.scheduler._running.of_item(item_id) is not None:
                self.assertLess(steady_seconds(), deadline)
                gevent.sleep(0.001)
            task = self.scheduler._queue.of_item(item_id)
            self.assertIsNotNone(task)
            task.not_before = 0.0
            self.scheduler._queue.put(task)
        self.assertEqual((task.lost_runs, self.placement.slots_in_use("e")), (3, 0))

    def test_scheduling_pass_does_not_scale_with_the_number_of_queued_items(self):
        """Guards against a scheduling pass that looks for an engine for every waiting item."""
        self._use_protocol(SilentProtocol())
        self.routing.apply(make_configuration())
        self.scheduler.add(JobState(make_job(items=500)))
        self.scheduler._place_all()
        self.assertEqual(self.placement.slots_in_use("e"), 8)
        choose = mock.Mock(wraps=self.placement.choose)
        with mock.patch.object(self.placement, "choose", choose):
            self.scheduler._place_all()
        self.assertEqual(choose.call_count, 1)

    def test_item_whose_earlier_run_may_be_in_flight_waits(self):
        """Guards against running an item twice when an ended job's run is still in flight."""
        self._use_protocol(SilentProtocol())
        self.routing.apply(make_configuration())
        in_flight = {f"{JOB_ID}-0"}
        self.scheduler.add(self.state)
        with mock.patch.object(self.scheduler._runner, "may_still_run", in_flight.__contains__):
            self.scheduler._place_all()
            self.assertFalse(self.scheduler._running.has_item(f"{JOB_ID}-0"))
            self.assertEqual(len(self.scheduler._running), len(self.state.items) - 1)
            in_flight.clear()
            gevent.sleep(2 * REQUEUE_DELAY_SECONDS)
            self.scheduler._place_all()
        self.assertTrue(self.scheduler._running.has_item(f"{JOB_ID}-0"))

    def test_scheduling_pass_yields_while_many_items_start(self):
        """Guards against event loop lag while the items of a large job are started."""
        self._use_protocol(SilentProtocol())
        self.routing.apply(make_configuration())
        for number in range(STARTS_PER_YIELD):
            backend = Backend(f"e{number}", SERVICE, DEAD_ADDRESS, "z", 8, False, {"m": 1})
            self.directory.put(backend)
        self.scheduler.add(JobState(make_job(items=4 * STARTS_PER_YIELD)))
        yields = []
        other = gevent.spawn(lambda: yields.append(len(self.scheduler._running)))
        self.scheduler._place_all()
        self.assertTrue(other.ready())
        self.assertEqual(yields, [STARTS_PER_YIELD])

    def test_other_jobs_are_scheduled_when_one_job_finds_no_engine(self):
        self._use_protocol(SilentProtocol())
        self.routing.apply(make_configuration())
        without_engine = replace(make_job(), job_id="without-engine", min_version=2)
        later = replace(make_job(), submitted_at=without_engine.submitted_at + 1.0)
        self.scheduler.add(JobState(without_engine))
        self.scheduler.add(JobState(later))
        self.scheduler._place_all()
        running = {task.state.job.job_id for task in self.scheduler._running}
        self.assertEqual(running, {JOB_ID})


if __name__ == "__main__":
    unittest.main()
