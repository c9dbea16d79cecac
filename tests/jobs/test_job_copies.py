"""Open jobs at the coordinator's likeliest successors."""

import unittest

from runkeel.api.jobs import BatchJob, ItemResult, JobItem, ResultState
from runkeel.jobs.job_copies import JobCopyKeeper, JobCopySender
from runkeel.jobs.job_state import JobState
from runkeel_lab.standins.peer_network import MemoryNetwork

ROUNDS = 20
"""Ten seconds at one round each half second; outages of the store are shorter."""


def make_state(job_id, items=3):
    all_items = tuple(JobItem(f"{job_id}-{n}", "/p", (), "Ym9keQ==") for n in range(items))
    return JobState(BatchJob(job_id, "h", "/p", 1.0, all_items, tenant="parish"))


def listed(state, number):
    item_id = f"{state.job.job_id}-{number}"
    state.take_segment([ItemResult(item_id, ResultState.COMPLETED, "text")])


class JobCopyTest(unittest.TestCase):
    def setUp(self):
        self.network = MemoryNetwork()
        self.keeper = JobCopyKeeper(self.network.node("next"))
        self.states = [make_state("j"), make_state("k")]

    def sender(self, epoch=1, successors=("next",)):
        return JobCopySender(
            self.network.node("first"), "fleet", epoch, lambda: self.states, lambda: successors
        )

    def kept(self):
        return {copy.job.job_id: copy for copy in self.keeper.jobs()}

    def test_successor_knows_open_jobs_and_what_is_listed(self):
        sender = self.sender()
        sender.send_once()
        listed(self.states[0], 1)
        sender.send_once()
        sender.send_once()
        kept = self.kept()
        self.assertEqual(set(kept), {"j", "k"})
        self.assertEqual(kept["j"].job, self.states[0].job)
        self.assertEqual(kept["j"].listed, {"j-1"})
        self.assertEqual(kept["k"].listed, frozenset())

    def test_ended_job_is_forgotten(self):
        sender = self.sender()
        sender.send_once()
        self.states[0].end()
        sender.send_once()
        self.assertEqual(set(self.kept()), {"k"})

    def test_what_did_not_arrive_is_sent_again(self):
        sender = self.sender()
        self.network.silent.add("next")
        sender.send_once()
        self.network.silent.clear()
        listed(self.states[0], 0)
        sender.send_once()
        self.assertEqual(self.kept()["j"].listed, {"j-0"})

    def test_successor_that_has_restarted_gets_everything_again(self):
        sender = self.sender()
        sender.send_once()
        self.keeper = JobCopyKeeper(self.network.node("next"))
        listed(self.states[0], 0)
        sender.send_once()
        sender.send_once()
        self.assertEqual(self.kept()["j"].listed, {"j-0"})

    def test_successor_that_has_restarted_gets_jobs_without_news_again(self):
        """The sender goes by its own book of what was told: the receiver may have lost it."""
        sender = self.sender()
        sender.send_once()
        self.keeper = JobCopyKeeper(self.network.node("next"))
        for _ in range(ROUNDS):
            sender.send_once()
        self.assertEqual(set(self.kept()), {"j", "k"})

    def test_copies_of_an_earlier_term_are_not_taken(self):
        self.sender(epoch=2).send_once()
        self.states = [make_state("old")]
        self.sender(epoch=1).send_once()
        self.assertEqual(set(self.kept()), {"j", "k"})


if __name__ == "__main__":
    unittest.main()
