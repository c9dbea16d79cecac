"""Fuzzing of the record service, and proof that the fuzzer finds the faults it is meant for."""

import os
import unittest
from unittest import mock

from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from runkeel.state.records import proposer
from runkeel.state.records.group import GroupManager
from runkeel.state.records.replica import Replica
from runkeel.wire.generated.records.ttypes import ReplicaStatus
from tests.records.machine import (
    FiveRecordMachine,
    HandOverMachine,
    HeldBackMachine,
    MemberChangeMachine,
    RecordMachine,
)

FREE_RUNNING = "RUNKEEL_FUZZ_EXAMPLES" in os.environ
EXAMPLES = int(os.environ.get("RUNKEEL_FUZZ_EXAMPLES", "40"))
MUTANT_EXAMPLES = 600


def fuzz_settings(examples, derandomize, steps=20):
    return settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=derandomize,
        database=None,
        deadline=None,
        phases=[Phase.generate] if derandomize else [Phase.generate, Phase.shrink],
    )


def unchecked_members(replies):
    """The mutant of consistent_members: counts every OK."""
    return {
        node_id: reply.incarnation
        for node_id, reply in replies.items()
        if reply.status == ReplicaStatus.OK
    }


def vote_at_once(manager, _view):
    """The mutant of GroupManager._recover: skips the recovery."""
    manager._replica.finish_recovery(retention_wait=False)


class FuzzTest(unittest.TestCase):
    def test_three_replicas(self):
        run_state_machine_as_test(RecordMachine, settings=fuzz_settings(EXAMPLES, not FREE_RUNNING))

    def test_held_back_messages(self):
        run_state_machine_as_test(
            HeldBackMachine, settings=fuzz_settings(EXAMPLES, not FREE_RUNNING)
        )

    def test_member_changes(self):
        run_state_machine_as_test(
            MemberChangeMachine, settings=fuzz_settings(EXAMPLES, not FREE_RUNNING)
        )

    def test_hand_overs(self):
        run_state_machine_as_test(
            HandOverMachine, settings=fuzz_settings(EXAMPLES, not FREE_RUNNING)
        )

    def test_five_replicas(self):
        run_state_machine_as_test(
            FiveRecordMachine, settings=fuzz_settings(EXAMPLES, not FREE_RUNNING)
        )


class MutantTest(unittest.TestCase):
    """Each mutant lacks one safeguard; the fuzzer must find the wrong value that follows."""

    def assert_found(self, machine=HeldBackMachine):
        with self.assertRaises(AssertionError):
            run_state_machine_as_test(
                machine, settings=fuzz_settings(MUTANT_EXAMPLES, derandomize=True)
            )

    def test_recovery_skipped(self):
        with mock.patch.object(GroupManager, "_recover", vote_at_once):
            self.assert_found()

    def test_recovery_skipped_while_members_change(self):
        with mock.patch.object(GroupManager, "_recover", vote_at_once):
            self.assert_found(MemberChangeMachine)

    def test_recovery_skipped_after_a_hand_over(self):
        with mock.patch.object(GroupManager, "_recover", vote_at_once):
            self.assert_found(HandOverMachine)

    def test_fast_ballot_decided_by_a_majority(self):
        with mock.patch.object(proposer.Proposer, "_fast_quorum", staticmethod(proposer.majority)):
            self.assert_found()

    def test_crash_vector_check_skipped(self):
        with (
            mock.patch.object(Replica, "_names_older_incarnation", return_value=False),
            mock.patch.object(proposer, "consistent_members", unchecked_members),
        ):
            self.assert_found()
