"""Jobs that the store can't take: kept on disks, handed on, never promised without need."""

import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

import gevent

from runkeel.api.documents import DocumentKind
from runkeel.api.jobs import BatchJob, JobItem
from runkeel.clock import steady_seconds
from runkeel.handoff import hint_service
from runkeel.handoff.hint_client import HintClient, HintOutcome, JobTrace
from runkeel.handoff.hint_log import HintLog
from runkeel.handoff.hint_service import HintService
from runkeel.handoff.keeper_quorum import (
    Keeper,
    KeeperQuorum,
    KnownKeepers,
    LossTolerance,
)
from runkeel.jobs.job_documents import encode_job, job_from_text, job_text
from runkeel.state.observed_store import ObservedStore
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.jobs.ttypes import JobHint, JobHintReply, JobHintState
from runkeel_lab.standins.document_store import MemoryDocumentStore
from runkeel_lab.standins.peer_network import MemoryNetwork

SHARD = "fleet"
KEEPERS = ("k1", "k2", "k3")
LONGEST_WAIT_SECONDS = 5.0


def make_encoded(job_id="j", age_seconds=0.0, tenant="", body="Ym9keQ=="):
    items = (JobItem(f"{job_id}-1", "/p", (), body),)
    job = BatchJob(job_id, "h", "/p", time.time() - age_seconds, items, tenant=tenant)
    return encode_job(job, "part")


class HintCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def wait(self, condition):
        deadline = steady_seconds() + LONGEST_WAIT_SECONDS
        while not condition():
            self.assertLess(steady_seconds(), deadline)
            gevent.sleep(0.01)


class HintLogTest(HintCase):
    def test_what_was_put_is_there_after_a_restart(self):
        log = HintLog(self.folder / "jobs")
        self.assertEqual(log.load(), {})
        self.assertTrue(log.put("../a job/1", "text"))
        self.assertTrue(log.put("other", "more"))
        self.assertEqual(
            HintLog(self.folder / "jobs").load(), {"../a job/1": "text", "other": "more"}
        )
        log.remove("other")
        log.remove("other")
        self.assertEqual(HintLog(self.folder / "jobs").load(), {"../a job/1": "text"})

    def test_file_that_was_cut_short_is_left_out(self):
        log = HintLog(self.folder)
        log.put("whole", "text")
        log.put("cut", "text")
        path = log._path("cut")
        for length in range(len(path.read_bytes())):
            log.put("cut", "text")
            path.write_bytes(path.read_bytes()[:length])
            self.assertEqual(HintLog(self.folder).load(), {"whole": "text"})

    def test_disk_that_fails_keeps_nothing(self):
        log = HintLog(self.folder / "missing")
        self.assertFalse(log.put("j", "text"))


class HintServiceTest(HintCase):
    def setUp(self):
        super().setUp()
        self.objects = MemoryDocumentStore()
        self.network = MemoryNetwork()
        self.taken = []
        self.services = {}

    def keeper(self, name="k1", disk=True, store=None, first_start=False):
        observed = ObservedStore(store or self.objects)
        log = HintLog(self.folder / name) if disk else None
        service = HintService(
            self.network.node(name),
            SHARD,
            observed,
            log,
            lambda job, _: self.taken.append(job),
            first_start,
        )
        service.start()
        self.addCleanup(service.stop)
        self.services[name] = service
        return service

    def hand(self, encoded, job_id="j", name="k1"):
        reply = self.network.node("edge").call(
            name, MessageType.JOB_HINT, JobHint(SHARD, job_id, job_text(encoded)), JobHintReply, 5.0
        )
        return reply.state

    def stored(self, job_id="j"):
        return job_id in self.objects.names(DocumentKind.JOB)

    def test_job_is_stored_at_once_where_the_store_answers(self):
        self.keeper()
        self.assertEqual(self.hand(make_encoded()), JobHintState.STORED)
        self.assertTrue(self.stored())
        self.assertEqual((self.services["k1"].kept, self.taken), (0, []))
        self.assertEqual(self.hand(make_encoded()), JobHintState.STORED)

    def test_job_is_kept_until_the_store_is_back(self):
        self.keeper()
        self.objects.down = True
        self.assertEqual(self.hand(make_encoded()), JobHintState.KEPT)
        self.assertEqual(self.hand(make_encoded()), JobHintState.KEPT)
        self.assertEqual(self.taken, ["j", "j"])
        self.objects.down = False
        self.wait(self.stored)
        self.wait(lambda: not self.services["k1"].kept)
        self.assertEqual(HintLog(self.folder / "k1").load(), {})

    def test_kept_job_outlives_the_process(self):
        self.keeper()
        self.objects.down = True
        self.hand(make_encoded())
        self.services["k1"].stop()
        self.keeper()
        self.objects.down = False
        self.wait(self.stored)

    def test_first_to_hand_on_counts(self):
        for name in KEEPERS:
            self.keeper(name)
        self.objects.down = True
        for name in KEEPERS:
            self.assertEqual(self.hand(make_encoded(), name=name), JobHintState.KEPT)
        self.objects.down = False
        self.wait(lambda: not any(self.services[name].kept for name in KEEPERS))
        self.assertEqual(self.objects.names(DocumentKind.JOB), ["j"])

    def test_node_without_a_disk_keeps_and_runs_nothing(self):
        self.keeper(disk=False)
        self.objects.down = True
        self.assertEqual(self.hand(make_encoded()), JobHintState.REFUSED)
        self.assertEqual(self.taken, [])

    def test_id_that_another_tenant_has_taken(self):
        self.keeper()
        self.hand(make_encoded(tenant="parish"))
        self.assertEqual(self.hand(make_encoded(tenant="school")), JobHintState.REFUSED)

    def test_text_that_is_no_job(self):
        self.keeper()
        reply = self.network.node("edge").call(
            "k1", MessageType.JOB_HINT, JobHint(SHARD, "j", "[]"), JobHintReply, 5.0
        )
        self.assertEqual(reply.state, JobHintState.REFUSED)

    def test_old_job_does_not_come_back(self):
        """It may have been run, ended and removed while the machine that kept it was away."""
        self.keeper()
        self.objects.down = True
        self.hand(make_encoded(age_seconds=hint_service.EXPIRY_SECONDS + 1))
        self.objects.down = False
        self.wait(lambda: not self.services["k1"].kept)
        self.assertFalse(self.stored())

    def test_no_more_is_kept_than_there_is_room_for(self):
        self.keeper()
        self.objects.down = True
        large = make_encoded("large", body="x" * hint_service.MAXIMUM_HINT_BYTES)
        self.assertEqual(self.hand(large, "large"), JobHintState.REFUSED)
        self.assertEqual(self.hand(make_encoded()), JobHintState.KEPT)


class HintClientTest(HintServiceTest):
    def client(self, copies=2, complete=True):
        quorum = KeeperQuorum(LossTolerance(copies - 1)) if copies else None
        known = KnownKeepers(tuple(Keeper(name, "z") for name in KEEPERS), complete)
        return HintClient(self.network.node("edge"), SHARD, lambda: known, quorum)

    def test_accepted_once_enough_disks_have_it(self):
        for name in KEEPERS:
            self.keeper(name)
        self.objects.down = True
        self.network.silent.add("k2")
        self.assertIs(self.client().keep("j", make_encoded()), HintOutcome.ACCEPTED)
        self.network.silent.add("k3")
        self.assertIs(self.client().keep("j2", make_encoded("j2")), HintOutcome.UNSURE)

    def test_accepted_where_one_keeper_reaches_the_store(self):
        refused = MemoryDocumentStore()
        refused.down = True
        self.keeper("k1", store=refused)
        self.keeper("k2", disk=False, store=refused)
        self.keeper("k3", disk=False)
        self.assertIs(self.client(3).keep("j", make_encoded()), HintOutcome.ACCEPTED)
        self.assertTrue(self.stored())

    def test_refused_only_where_nobody_has_it(self):
        for name in KEEPERS:
            self.keeper(name, disk=False)
        self.objects.down = True
        self.assertIs(self.client().keep("j", make_encoded()), HintOutcome.REFUSED)
        self.assertIs(self.client(4).keep("j", make_encoded()), HintOutcome.REFUSED)
        self.assertIs(self.client(0).keep("j", make_encoded()), HintOutcome.REFUSED)
        self.assertEqual(self.taken, [])

    def test_job_that_is_kept_is_not_said_to_be_unknown(self):
        for name in KEEPERS:
            self.keeper(name, first_start=True)
        self.objects.down = True
        self.hand(make_encoded(), name="k2")
        self.assertIs(self.client().trace("j"), JobTrace.KEPT)
        self.assertIs(self.client().trace("other"), JobTrace.RULED_OUT)

    def test_job_is_ruled_out_only_by_the_word_of_enough_machines(self):
        """Machines that gave no answer counted as if they had denied it."""
        for name in KEEPERS:
            self.keeper(name, first_start=True)
        self.network.silent.add("k1")
        self.assertIs(self.client().trace("j"), JobTrace.RULED_OUT)
        self.network.silent.add("k2")
        self.assertIs(self.client().trace("j"), JobTrace.UNSURE)

    def test_machine_whose_disk_is_new_can_deny_nothing(self):
        self.keeper("k1", first_start=True)
        self.keeper("k2")
        self.keeper("k3")
        self.assertIs(self.client().trace("j"), JobTrace.UNSURE)

    def test_disk_that_vouched_once_does_so_after_a_restart(self):
        self.keeper("k1", first_start=True)
        self.wait(lambda: HintLog(self.folder / "k1").marked)
        self.services["k1"].stop()
        self.assertTrue(self.remembers(self.keeper("k1")))

    def test_new_disk_vouches_once_all_before_has_expired(self):
        with mock.patch.object(hint_service, "REMEMBER_SECONDS", 0.05):
            service = self.keeper("k1")
            self.assertFalse(service._remembers)
            self.assertTrue(self.remembers(service))
            self.wait(lambda: HintLog(self.folder / "k1").marked)

    def remembers(self, service):
        self.wait(lambda: service._remembers)
        return True

    def test_node_that_has_just_started_denies_nothing(self):
        for name in KEEPERS:
            self.keeper(name, first_start=True)
        self.assertIs(self.client(complete=False).trace("j"), JobTrace.UNSURE)


class JobTextTest(unittest.TestCase):
    def test_text_holds_document_and_parts(self):
        encoded = make_encoded()
        self.assertEqual(job_from_text(job_text(encoded)), encoded)


if __name__ == "__main__":
    unittest.main()
