"""When items expire, and retries of scoring that was not finished in time."""

import time
import unittest
from dataclasses import replace

import gevent

from runkeel.api.fleet import Backend
from runkeel.api.jobs import ResultState, ScorerCall
from runkeel.api.machines import Address
from runkeel.clock import steady_seconds
from runkeel.gateway.backends import BackendDirectory
from runkeel.gateway.routing import RoutingTable
from runkeel.jobs.engine_placement import EnginePlacement
from runkeel.jobs.expiry import MAX_CLOCK_SKEW_SECONDS, expires_at
from runkeel.jobs.generation_run import PartialOutput
from runkeel.jobs.job_state import JobState
from runkeel.jobs.scheduler import Scheduler
from runkeel.jobs.scorer import ScoringUnfinishedError
from tests.jobs.test_job_service import make_job
from tests.jobs.test_scheduler import SERVICE, SilentProtocol, make_configuration
from tests.standalone_quarantine import standalone_quarantine

QUEUE_SECONDS = 60.0
MAX_WAIT_SECONDS = 5.0


class UnfinishedScorer:
    """Raises ScoringUnfinishedError a number of times before it succeeds."""

    def __init__(self, times):
        self.times = times
        self.calls = 0

    def score(self, call, deadline):
        self.calls += 1
        gevent.sleep(0.01)
        if self.calls <= self.times:
            raise ScoringUnfinishedError("out of time")
        return "stamp"


class ExpiryTest(unittest.TestCase):
    def setUp(self):
        self.routing = RoutingTable()
        self.configuration = make_configuration()
        self.route = self.configuration.routes[0]

    def job(self, seconds_ago):
        job = make_job(submitted_at=time.time() - seconds_ago)
        call = ScorerCall("score", "h", "/score/", "eA==")
        return replace(job, items=tuple(replace(item, scorer=call) for item in job.items))

    def test_clock_skew_expires_nothing_too_early(self):
        job = self.job(QUEUE_SECONDS + MAX_CLOCK_SKEW_SECONDS - 1.0)
        self.assertGreater(expires_at(job, self.route), time.time())
        job = self.job(QUEUE_SECONDS + MAX_CLOCK_SKEW_SECONDS + 1.0)
        self.assertLess(expires_at(job, self.route), time.time())

    def test_route_without_queue_limit_expires_nothing(self):
        """Guards against treating an unlimited queue time as already expired."""
        route = replace(self.route, max_queue_seconds=0.0)
        self.assertGreater(expires_at(self.job(10_000.0), route), time.time())

    def start(self, seconds_ago, unfinished):
        self.routing.apply(self.configuration)
        directory = BackendDirectory()
        address = Address("127.0.0.1", 1)
        directory.put(Backend("e", SERVICE, address, "z", 8, False, {"m": 1}))
        self.scorer = UnfinishedScorer(unfinished)
        scheduler = Scheduler(
            EnginePlacement(directory, lambda *key: False),
            self.routing,
            SilentProtocol(),
            self.scorer,
            lambda *key: False,
            standalone_quarantine(),
        )
        self.addCleanup(scheduler.stop)
        job = self.job(seconds_ago)
        scheduler.restore_outputs({job.items[0].item_id: PartialOutput(["x"], "1", [1], True)})
        state = JobState(job)
        scheduler.start()
        scheduler.add(state)
        deadline = steady_seconds() + MAX_WAIT_SECONDS
        while not state.unlisted:
            self.assertLess(steady_seconds(), deadline, self.scorer.calls)
            gevent.sleep(0.01)
        return state.unlisted[0]

    def test_unfinished_scoring_is_retried(self):
        result = self.start(0.0, unfinished=3)
        self.assertIs(result.state, ResultState.COMPLETED)
        self.assertEqual((result.score, self.scorer.calls), ("stamp", 4))

    def test_item_that_is_never_scored_fails_once_expired(self):
        result = self.start(QUEUE_SECONDS + MAX_CLOCK_SKEW_SECONDS + 1.0, unfinished=1_000)
        self.assertIs(result.state, ResultState.FAILED)


if __name__ == "__main__":
    unittest.main()
