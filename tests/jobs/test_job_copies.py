"""Copies of open jobs at the coordinator's likely successors."""

import unittest
from unittest import mock

from runkeel.api.jobs import BatchJob, ItemResult, JobItem, ResultState
from runkeel.jobs.job_copies import (
    MAX_MESSAGE_BYTES,
    MAX_SENT_BYTES,
    JobCopySender,
    ReceivedJobCopies,
)
from runkeel.jobs.job_state import JobState
from runkeel_lab.standins.peer_network import MemoryNetwork

ROUNDS = 20
"""Ten seconds of rounds, longer than an outage of the store."""


def make_state(job_id, items=3):
    all_items = tuple(JobItem(f"{job_id}-{n}", "/p", (), "Ym9keQ==") for n in range(items))
    return JobState(BatchJob(job_id, "h", "/p", 1.0, all_items, tenant="parish"))


def listed(state, number):
    item_id = f"{state.job.job_id}-{number}"
    state.append_segment([ItemResult(item_id, ResultState.COMPLETED, "text")])


def make_large_states(count, body_bytes):
    states = []
    for number in range(count):
        item = JobItem(f"large{number}-0", "/p", (), "x" * body_bytes)
        states.append(JobState(BatchJob(f"large{number}", "h", "/p", 1.0, (item,))))
    return states


class JobCopyTest(unittest.TestCase):
    def setUp(self):
        self.network = MemoryNetwork()
        self.keeper = ReceivedJobCopies(self.network.node("next"))
        self.states = [make_state("j"), make_state("k")]

    def sender(self, epoch=1, successors=("next",)):
        return JobCopySender(
            self.network.node("first"), "fleet", epoch, lambda: self.states, lambda: successors
        )

    def kept(self):
        return {copy.job.job_id: copy for copy in self.keeper.jobs()}

    def test_successor_has_open_jobs_and_their_listed_items(self):
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

    def _sent_sizes(self, rounds=1):
        """Send updates and return the size of the jobs in each message."""
        node = self.network.node("first")
        sender = self.sender()
        sizes = []
        call = node.call

        def record(to, message_type, message, reply_class, timeout):
            sizes.append(sum(len(copy.content) for copy in message.jobs))
            return call(to, message_type, message, reply_class, timeout)

        with mock.patch.object(sender._network, "call", record):
            for _ in range(rounds):
                sender.send_once()
        return sizes

    def test_many_open_jobs_are_sent_in_messages_of_limited_size(self):
        """Guards against a new coordinator that exceeds its memory as it encodes all jobs."""
        body_bytes = MAX_MESSAGE_BYTES // 3
        self.states = make_large_states(9, body_bytes)
        sizes = self._sent_sizes()
        self.assertLess(max(sizes), MAX_MESSAGE_BYTES + 2 * body_bytes)
        self.assertEqual(set(self.kept()), {state.job.job_id for state in self.states})

    def test_jobs_beyond_what_a_successor_keeps_are_not_sent_again_and_again(self):
        self.states = make_large_states(12, MAX_SENT_BYTES // 8)
        first = self._sent_sizes()
        kept = set(self.kept())
        self.assertTrue(kept)
        self.assertLessEqual(sum(first), 1.1 * MAX_SENT_BYTES)
        self.assertLessEqual(sum(self._sent_sizes(ROUNDS)), 1.1 * MAX_SENT_BYTES)
        self.assertEqual(set(self.kept()), kept)

    def test_job_that_exceeds_a_message_does_not_keep_back_the_others(self):
        self.states = [*make_large_states(1, 17 * 1024 * 1024), make_state("j")]
        self._sent_sizes()
        self.assertEqual(set(self.kept()), {"j"})

    def test_ended_job_is_removed(self):
        sender = self.sender()
        sender.send_once()
        self.states[0].end()
        sender.send_once()
        self.assertEqual(set(self.kept()), {"k"})

    def test_lost_update_is_sent_again(self):
        sender = self.sender()
        self.network.unreachable.add("next")
        sender.send_once()
        self.network.unreachable.clear()
        listed(self.states[0], 0)
        sender.send_once()
        self.assertEqual(self.kept()["j"].listed, {"j-0"})

    def test_restarted_successor_gets_updated_jobs_again(self):
        sender = self.sender()
        sender.send_once()
        self.keeper = ReceivedJobCopies(self.network.node("next"))
        listed(self.states[0], 0)
        sender.send_once()
        sender.send_once()
        self.assertEqual(self.kept()["j"].listed, {"j-0"})

    def test_restarted_successor_gets_unchanged_jobs_again(self):
        """Guards against relying only on the sender's record of what the receiver has."""
        sender = self.sender()
        sender.send_once()
        self.keeper = ReceivedJobCopies(self.network.node("next"))
        for _ in range(ROUNDS):
            sender.send_once()
        self.assertEqual(set(self.kept()), {"j", "k"})

    def test_copies_of_an_earlier_epoch_are_ignored(self):
        self.sender(epoch=2).send_once()
        self.states = [make_state("old")]
        self.sender(epoch=1).send_once()
        self.assertEqual(set(self.kept()), {"j", "k"})


if __name__ == "__main__":
    unittest.main()
