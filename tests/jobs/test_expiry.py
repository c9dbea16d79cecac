"""When an item may be given up, and what becomes of a text that nobody has scored in time."""

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
from runkeel.jobs.expiry import CLOCK_DIFFERENCE_SECONDS, expires_at
from runkeel.jobs.generation_run import PartialText
from runkeel.jobs.job_state import JobState
from runkeel.jobs.scheduler import Scheduler
from runkeel.jobs.scorer import ScoringUnfinishedError
from tests.jobs.test_job_service import make_job
from tests.jobs.test_scheduler import SERVICE, SilentProtocol, make_configuration
from tests.open_quarantine import open_quarantine

QUEUE_SECONDS = 60.0
LONGEST_WAIT_SECONDS = 5.0


class BusyScorer:
    """No answer of success comes in time, a few times."""

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

    def test_clocks_that_differ_give_nothing_up_too_early(self):
        job = self.job(QUEUE_SECONDS + CLOCK_DIFFERENCE_SECONDS - 1.0)
        self.assertGreater(expires_at(job, self.route), time.time())
        job = self.job(QUEUE_SECONDS + CLOCK_DIFFERENCE_SECONDS + 1.0)
        self.assertLess(expires_at(job, self.route), time.time())

    def test_route_that_names_no_time_gives_nothing_up(self):
        """Each item was given up as soon as it was looked at."""
        route = replace(self.route, maximum_queue_seconds=0.0)
        self.assertGreater(expires_at(self.job(10_000.0), route), time.time())

    def start(self, seconds_ago, unfinished):
        self.routing.apply(self.configuration)
        directory = BackendDirectory()
        address = Address("127.0.0.1", 1)
        directory.put(Backend("e", SERVICE, address, "z", 8, False, {"m": 1}))
        self.scorer = BusyScorer(unfinished)
        scheduler = Scheduler(
            EnginePlacement(directory, lambda *key: False),
            self.routing,
            SilentProtocol(),
            self.scorer,
            lambda *key: False,
            open_quarantine(),
        )
        self.addCleanup(scheduler.stop)
        job = self.job(seconds_ago)
        scheduler.keep_texts({job.items[0].item_id: PartialText(["x"], "1", [1], True)})
        state = JobState(job)
        scheduler.start()
        scheduler.add(state)
        deadline = steady_seconds() + LONGEST_WAIT_SECONDS
        while not state.unlisted:
            self.assertLess(steady_seconds(), deadline, self.scorer.calls)
            gevent.sleep(0.01)
        return state.unlisted[0]

    def test_text_that_nobody_scored_in_time_is_scored_later(self):
        result = self.start(0.0, unfinished=3)
        self.assertIs(result.state, ResultState.COMPLETED)
        self.assertEqual((result.score, self.scorer.calls), ("stamp", 4))

    def test_text_that_nobody_scores_is_given_up_once_its_time_is_over(self):
        result = self.start(QUEUE_SECONDS + CLOCK_DIFFERENCE_SECONDS + 1.0, unfinished=1_000)
        self.assertIs(result.state, ResultState.FAILED)


if __name__ == "__main__":
    unittest.main()
