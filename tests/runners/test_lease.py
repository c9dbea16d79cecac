"""Runner leases: what either side does when it no longer hears from the other."""

import unittest
from unittest import mock

import gevent

from runkeel.api.fleet import Backend
from runkeel.api.machines import Address
from runkeel.clock import steady_seconds
from runkeel.gateway.backends import BackendDirectory
from runkeel.jobs.generation_run import PartialOutput, RunOutcome
from runkeel.runners import lease, pool, remote_run, service
from runkeel.runners.pool import RunnerPool
from runkeel.runners.service import RunnerService
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.jobs.ttypes import (
    ItemRunProgress,
    ItemRunStart,
    ItemRunUpdate,
    NodeAddress,
)
from runkeel_lab.standins.peer_network import MemoryNetwork
from tests.standalone_quarantine import standalone_quarantine

SERVICE = "engines"
WAIT_TIMEOUT_SECONDS = 10.0
SCALE = 0.25
SCALED_CONSTANTS = (
    "HEARTBEAT_SECONDS",
    "PROGRESS_TIMEOUT_SECONDS",
    "PROGRESS_INTERVAL_SECONDS",
    "RUN_LEASE_SECONDS",
    "RUNNER_LOST_SECONDS",
    "MAINTENANCE_INTERVAL_SECONDS",
    "INVITE_RETRY_SECONDS",
)


class FakeRun:
    """A run that continues until it is ended."""

    def __init__(self, message, on_ended):
        self.run_id = message.run_id
        self.has_update = False
        self.outcome = ""
        self.pieces = []
        self.item_id = message.request_id
        self._on_ended = on_ended

    @property
    def output_from_start(self):
        return PartialOutput(self.pieces, "1", [1])

    def start(self):
        self.has_update = True
        self.pieces.append("a")

    def end(self):
        self.outcome = self.outcome or RunOutcome.MOVED.value
        self.has_update = True
        self._on_ended()

    def update(self):
        return ItemRunUpdate(
            self.run_id, 0, list(self.pieces), "1", [1], False, self.outcome, "", ""
        )

    def mark_reported(self, update):
        self.has_update = False
        return bool(update.outcome)


class LeaseTest(unittest.TestCase):
    def setUp(self):
        for module in (pool, remote_run, service):
            for name in SCALED_CONSTANTS:
                if hasattr(module, name):
                    patch = mock.patch.object(module, name, getattr(lease, name, 1.0) * SCALE)
                    patch.start()
                    self.addCleanup(patch.stop)
        limit = mock.patch.object(pool, "MAX_LOCAL_RUNS", 0)
        limit.start()
        self.addCleanup(limit.stop)
        self.network = MemoryNetwork()
        self.directory = BackendDirectory()
        self.directory.put(
            Backend("e", SERVICE, Address("127.0.0.1", 1), "zone", 8, False, {"m": 1})
        )
        self.epoch = 1
        self.hosted = []
        self.kept_outputs = []
        self.runner = RunnerService(
            self.network.node("r"),
            "fleet",
            self.directory,
            None,
            None,
            standalone_quarantine(),
            lambda: self.epoch,
            lambda address, epoch: None,
            lambda epoch, item, partial: self.kept_outputs.append((epoch, item, partial.pieces)),
        )
        self.runner.create_run = self._host_run
        self.addCleanup(self.runner.stop)
        self.pool = self._pool(1)

    def _pool(self, epoch):
        peers = self.network.node("c")
        created = RunnerPool(
            peers,
            "fleet",
            epoch,
            lambda: NodeAddress("c", "127.0.0.1:1", "zone"),
            lambda: [NodeAddress("r", "127.0.0.1:2", "zone")],
            self.directory,
            lambda: [SERVICE],
        )
        peers.on_call(
            MessageType.ITEM_RUN_PROGRESS,
            ItemRunProgress,
            lambda peer, message: (0, created.apply_progress(peer, message)),
        )
        created.set_open_items(1)
        created.start()
        self.addCleanup(created.stop)
        return created

    def _host_run(self, message, loading, on_ended):
        self.hosted.append(FakeRun(message, on_ended))
        return self.hosted[-1]

    def _wait(self, condition, seconds=WAIT_TIMEOUT_SECONDS):
        deadline = steady_seconds() + seconds
        while not (value := condition()):
            self.assertLess(steady_seconds(), deadline, "condition not met in time")
            gevent.sleep(0.005)
        return value

    def _joined_runner(self):
        engine = self.directory.get("e")
        return self._wait(lambda: self.pool.runner_for(engine))

    def _new_run(self):
        start = ItemRunStart(
            backend_id="e",
            request_id="i",
            host="h",
            path="/",
            headers=[],
            body=b"",
            urgency=1,
            resume_after="",
            versions=[],
            minimum_version=1,
            single_version=False,
        )
        return self.pool.create_run(self._joined_runner(), start, PartialOutput(), lambda: False)

    def _begin(self):
        """Start a run; returns it and the greenlet that waits for its end."""
        run = self._new_run()
        task = gevent.spawn(run.run, steady_seconds() + WAIT_TIMEOUT_SECONDS)
        self._wait(lambda: run.events)
        return run, task

    def test_run_is_lost_only_after_its_runner_has_ended_it(self):
        _, task = self._begin()
        self.network.cut("c", "r")
        self._wait(lambda: self.hosted[0].outcome)
        self.assertFalse(task.ready())
        self.assertIs(task.get(timeout=WAIT_TIMEOUT_SECONDS), RunOutcome.BROKEN)

    def test_short_partition_ends_no_run(self):
        _, task = self._begin()
        self.network.cut("c", "r")
        gevent.sleep(0.4 * lease.RUN_LEASE_SECONDS * SCALE)
        self.network.heal()
        gevent.sleep(2 * lease.RUNNER_LOST_SECONDS * SCALE)
        self.assertEqual((self.hosted[0].outcome, task.ready()), ("", False))

    def test_start_that_arrives_after_the_lease_expired_is_refused(self):
        """A start may be delayed by a network partition until after it has healed."""
        run = self._new_run()
        self.network.cut("c", "r")
        gevent.sleep(2 * lease.RUNNER_LOST_SECONDS * SCALE)
        self.network.heal()
        self._joined_runner()
        self.assertIs(run.run(steady_seconds() + 1.0), RunOutcome.REFUSED)
        self.assertEqual(self.hosted, [])

    def test_run_that_is_ended_before_its_start_arrives_never_starts(self):
        run = self._new_run()
        run._request_end(run.run_id)
        self._wait(lambda: run._ended.is_set())
        self.assertIs(run._outcome, RunOutcome.REFUSED)
        self.assertIs(run.run(steady_seconds() + 1.0), RunOutcome.REFUSED)
        self.assertEqual(self.hosted, [])

    def test_killed_run_is_ended_at_its_runner(self):
        _, task = self._begin()
        task.kill()
        self._wait(lambda: self.hosted[0].outcome == RunOutcome.MOVED.value)
        self._wait(lambda: not self.pool._runners["r"].runs)

    def test_item_may_still_run_until_its_runner_has_confirmed_the_end(self):
        """Late progress of an abandoned run must not be appended to the item's partial output."""
        run, task = self._begin()
        task.kill()
        self.assertTrue(self.pool.may_still_run("i"))
        before = list(run._partial.pieces)
        late = ItemRunUpdate(run.run_id, len(before), ["late"], "2", [1], False, "", "", "")
        run.apply_update(late)
        self.assertEqual(run._partial.pieces, before)
        self._wait(lambda: not self.pool.may_still_run("i"))
        self.assertEqual(self.hosted[0].outcome, RunOutcome.MOVED.value)

    def test_moved_run_ends_once_its_runner_confirms_it(self):
        run, task = self._begin()
        run.abort_for_move()
        self.assertIs(task.get(timeout=WAIT_TIMEOUT_SECONDS), RunOutcome.MOVED)
        self.assertEqual(self.hosted[0].outcome, RunOutcome.MOVED.value)

    def test_runs_of_an_earlier_term_end(self):
        self._begin()
        self.epoch = 2
        self._wait(lambda: self.hosted[0].outcome)
        self.assertEqual(self.runner.hosted_runs, 0)

    def test_runner_keeps_its_outputs_for_the_next_coordinator(self):
        self._begin()
        self.runner.end_earlier_terms(2)
        self.assertEqual(self.kept_outputs, [(1, "i", ["a"])])

    def test_runs_end_when_their_coordinator_has_stepped_down(self):
        self._begin()
        self.pool.stop()
        self._wait(lambda: self.hosted[0].outcome)

    def test_invitation_of_an_earlier_term_is_refused(self):
        self.epoch = 2
        gevent.sleep(3 * lease.HEARTBEAT_SECONDS * SCALE)
        self.assertEqual(self.pool._runners, {})

    def test_no_runner_is_used_while_the_coordinator_runs_all_items_itself(self):
        self.pool.stop()
        idle = self._pool(1)
        # No demand recently; the steady clock is never negative.
        idle._last_demand_at = -lease.DEMAND_RETENTION_SECONDS
        idle._runners.clear()
        self.assertFalse(idle.needs_runners)
        idle.set_open_items(1)
        self.assertTrue(idle.needs_runners)
        with mock.patch.object(pool, "MAX_LOCAL_RUNS", 1):
            self.assertIsNone(idle.runner_for(self.directory.get("e")))
            self.assertTrue(idle.has_capacity)

    def test_idle_runners_are_released_when_they_are_no_longer_needed(self):
        _, task = self._begin()
        # No demand recently; the steady clock is never negative.
        self.pool._last_demand_at = -lease.DEMAND_RETENTION_SECONDS
        gevent.sleep(3 * lease.HEARTBEAT_SECONDS * SCALE)
        self.assertEqual(len(self.pool._runners), 1)
        task.kill()
        self._wait(lambda: not self.pool._runners)
        self._wait(lambda: self.runner._assignment.ended)
        self.pool.set_open_items(1)
        self._joined_runner()

    def test_lease_expires_before_the_runner_counts_as_lost(self):
        self.assertGreater(lease.RUNNER_LOST_SECONDS, lease.RUN_LEASE_SECONDS + 0.4)
        attempt_seconds = lease.PROGRESS_INTERVAL_SECONDS + lease.PROGRESS_TIMEOUT_SECONDS
        self.assertLess(2 * attempt_seconds, lease.RUN_LEASE_SECONDS)


class RemoteRunTest(unittest.TestCase):
    def setUp(self):
        self.run_ids_to_end = []
        self.partial = PartialOutput()
        start = ItemRunStart(run_id="1.1", backend_id="e")
        self.run = remote_run.RemoteRun(
            start, self.partial, lambda: False, lambda message: None, self.run_ids_to_end.append
        )

    def _apply_update(self, first, pieces, **more):
        fields = {"whole": False, "outcome": "", "detail": "", "score": ""} | more
        update = ItemRunUpdate("1.1", first, pieces, str(first + len(pieces)), [1], **fields)
        self.run.apply_update(update)

    def test_progress_that_is_received_twice_counts_once(self):
        self._apply_update(0, ["a", "b"])
        self._apply_update(0, ["a", "b", "c"])
        self._apply_update(3, ["d"], whole=True, outcome="complete", score="s")
        self.assertEqual(self.partial.pieces, ["a", "b", "c", "d"])
        self.assertEqual((self.partial.last_event_id, self.partial.complete), ("4", True))
        self.assertEqual((self.run._outcome, self.run.score), (RunOutcome.COMPLETE, "s"))

    def test_output_never_skips_a_piece(self):
        self._apply_update(0, ["a"])
        self._apply_update(2, ["c"], whole=True)
        self.assertEqual((self.partial.pieces, self.partial.complete), (["a"], False))
        self.assertEqual(self.run_ids_to_end, ["1.1"])
        self._apply_update(2, ["c"], whole=True, outcome="complete")
        self.assertIs(self.run._outcome, RunOutcome.BROKEN)
        self.assertFalse(self.partial.complete)

    def test_output_that_could_not_be_scored_is_reported_as_such(self):
        self._apply_update(0, ["a"], whole=True, outcome="scoring_failed", detail="4 failures")
        self.assertIs(self.run._outcome, RunOutcome.COMPLETE)
        self.assertEqual(self.run.scoring_error, "4 failures")


if __name__ == "__main__":
    unittest.main()
