"""Hinted handoff: jobs survive store outages and are denied only when they can't exist."""

import errno
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

import gevent
from gevent.monkey import get_original

from runkeel.api.documents import DocumentKind, DocumentRejectedError
from runkeel.api.jobs import BatchJob, JobItem
from runkeel.clock import steady_seconds
from runkeel.errors import ErrorCode, may_have_run, not_run
from runkeel.handoff import hint_log, hint_service
from runkeel.handoff.hint_client import (
    HINT_TIMEOUT_SECONDS,
    HintClient,
    HintLookupResult,
    HintOutcome,
)
from runkeel.handoff.hint_log import HintLog, StoredHints
from runkeel.handoff.hint_service import HintService
from runkeel.handoff.storage_quorum import (
    KnownStorageNodes,
    LossTolerance,
    StorageNode,
    StorageQuorum,
)
from runkeel.jobs import job_documents
from runkeel.jobs.job_documents import deserialize_job, encode_job, serialize_job
from runkeel.jobs.job_store import JobStore
from runkeel.state.observed_store import ObservedStore
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.jobs.ttypes import JobHint, JobHintReply, JobHintState
from runkeel_lab.standins.document_store import MemoryDocumentStore
from runkeel_lab.standins.peer_network import MemoryNetwork

SHARD = "fleet"
STORAGE_NODES = ("k1", "k2", "k3")
WAIT_TIMEOUT_SECONDS = 5.0


def make_encoded(job_id="j", age_seconds=0.0, tenant="", body="Ym9keQ=="):
    items = (JobItem(f"{job_id}-1", "/p", (), body),)
    job = BatchJob(job_id, "h", "/p", time.time() - age_seconds, items, tenant=tenant)
    return encode_job(job, "part")


class HintCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        # A disk write that runs in the thread pool continues after its service has stopped.
        self.addCleanup(gevent.get_hub().threadpool.join)
        self.folder = Path(folder.name)

    def wait(self, condition):
        deadline = steady_seconds() + WAIT_TIMEOUT_SECONDS
        while not condition():
            self.assertLess(steady_seconds(), deadline)
            gevent.sleep(0.01)


class HintLogTest(HintCase):
    def test_hints_survive_a_restart(self):
        log = HintLog(self.folder / "jobs")
        self.assertEqual(log.load(), StoredHints({}, all_files_read=True))
        self.assertTrue(log.put("../a job/1", "text"))
        self.assertTrue(log.put("other", "more"))
        self.assertEqual(
            HintLog(self.folder / "jobs").load(),
            StoredHints({"../a job/1": "text", "other": "more"}, all_files_read=True),
        )
        log.remove("other")
        log.remove("other")
        self.assertEqual(
            HintLog(self.folder / "jobs").load(),
            StoredHints({"../a job/1": "text"}, all_files_read=True),
        )

    def test_truncated_file_is_ignored(self):
        log = HintLog(self.folder)
        log.put("whole", "text")
        log.put("cut", "text")
        path = log._path("cut")
        for length in range(len(path.read_bytes())):
            log.put("cut", "text")
            path.write_bytes(path.read_bytes()[:length])
            self.assertEqual(
                HintLog(self.folder).load(), StoredHints({"whole": "text"}, all_files_read=True)
            )

    def test_put_fails_when_the_disk_fails(self):
        log = HintLog(self.folder / "missing")
        self.assertFalse(log.put("j", "text"))


class HintServiceTest(HintCase):
    def setUp(self):
        super().setUp()
        self.shared_store = MemoryDocumentStore()
        self.network = MemoryNetwork()
        self.hinted_jobs = []
        self.services = {}

    def start_node(self, name="k1", disk=True, store=None, first_start=False):
        observed = ObservedStore(store or self.shared_store)
        log = HintLog(self.folder / name) if disk else None
        service = HintService(
            self.network.node(name),
            SHARD,
            observed,
            log,
            lambda job, _: self.hinted_jobs.append(job),
            first_start,
        )
        service.start()
        self.addCleanup(service.stop)
        self.services[name] = service
        return service

    def send_hint(self, encoded, job_id="j", name="k1"):
        reply = self.network.node("edge").call(
            name,
            MessageType.JOB_HINT,
            JobHint(SHARD, job_id, serialize_job(encoded)),
            JobHintReply,
            5.0,
        )
        return reply.state

    def stored(self, job_id="j"):
        return job_id in self.shared_store.names(DocumentKind.JOB)

    def test_job_is_stored_at_once_when_the_store_is_reachable(self):
        self.start_node()
        self.assertEqual(self.send_hint(make_encoded()), JobHintState.STORED)
        self.assertTrue(self.stored())
        self.assertEqual((self.services["k1"].hint_count, self.hinted_jobs), (0, []))
        self.assertEqual(self.send_hint(make_encoded()), JobHintState.STORED)

    def test_job_is_kept_until_the_store_is_back(self):
        self.start_node()
        self.shared_store.down = True
        self.assertEqual(self.send_hint(make_encoded()), JobHintState.KEPT)
        self.assertEqual(self.send_hint(make_encoded()), JobHintState.KEPT)
        self.assertEqual(self.hinted_jobs, ["j", "j"])
        self.shared_store.down = False
        self.wait(self.stored)
        self.wait(lambda: not self.services["k1"].hint_count)
        self.assertEqual(HintLog(self.folder / "k1").load().jobs, {})

    def test_large_job_is_kept_in_time_when_the_store_does_not_answer(self):
        """Guards against a sender that stops waiting before the parts of its job have timed out."""

        def create_unanswered(kind, name, content, timeout_seconds):
            gevent.sleep(timeout_seconds)
            raise may_have_run(ErrorCode.STORE_OUTCOME_UNKNOWN, "no answer")

        self.start_node()
        with mock.patch.multiple(job_documents, MAX_PART_BYTES=1, MAX_CONTENT_BYTES=0):
            encoded = make_encoded()
        self.assertTrue(encoded.parts)
        started = steady_seconds()
        with mock.patch.object(self.shared_store, "create", create_unanswered):
            self.assertEqual(self.send_hint(encoded), JobHintState.KEPT)
        self.assertLess(steady_seconds() - started, HINT_TIMEOUT_SECONDS)

    def _kept_hints(self, jobs):
        self.start_node()
        self.shared_store.down = True
        for job_id, encoded in jobs.items():
            self.assertEqual(self.send_hint(encoded, job_id), JobHintState.KEPT)

    def test_job_that_the_store_fails_to_take_does_not_keep_back_later_ones(self):
        """Also covers two such jobs, and a store that gives no reason."""
        names = ("bad-1", "bad-2", "good-1", "good-2")
        self._kept_hints({name: make_encoded(name) for name in names})
        create = self.shared_store.create

        def fail_for_bad(kind, name, content, timeout_seconds):
            if name.startswith("bad"):
                raise not_run(ErrorCode.STORE_UNAVAILABLE, "busy")
            return create(kind, name, content, timeout_seconds)

        with mock.patch.object(self.shared_store, "create", fail_for_bad):
            self.shared_store.down = False
            self.wait(lambda: self.stored("good-1") and self.stored("good-2"))
        self.wait(lambda: self.stored("bad-1") and self.stored("bad-2"))

    def test_job_that_the_store_rejects_is_written_once_and_does_not_delay_others(self):
        self._kept_hints({name: make_encoded(name) for name in ("bad", "good")})
        create = self.shared_store.create
        rejected = []

        def reject_bad(kind, name, content, timeout_seconds):
            if name == "bad":
                rejected.append(name)
                raise DocumentRejectedError(kind, name, too_large=True)
            return create(kind, name, content, timeout_seconds)

        with (
            mock.patch.object(self.shared_store, "create", reject_bad),
            mock.patch.object(hint_service, "HANDOFF_INTERVAL_SECONDS", 0.01),
        ):
            self.shared_store.down = False
            self.wait(lambda: self.stored("good"))
            gevent.sleep(0.1)
        self.assertEqual(rejected, ["bad"])

    def test_hint_of_an_older_build_that_exceeds_a_document_is_stored_in_parts(self):
        body = "x" * 500_000
        items = tuple(JobItem(f"j-{n}", "/p", (), body) for n in range(3))
        job = BatchJob("j", "h", "/p", time.time(), items)
        with mock.patch.object(job_documents, "MAX_CONTENT_BYTES", 10_000_000):
            encoded = encode_job(job, "part")
        self.assertFalse(encoded.parts)
        self._kept_hints({"j": encoded})
        self.shared_store.down = False
        self.wait(self.stored)
        self.assertEqual(JobStore(self.shared_store).get("j"), job)

    def test_hint_survives_the_process(self):
        self.start_node()
        self.shared_store.down = True
        self.send_hint(make_encoded())
        self.services["k1"].stop()
        self.start_node()
        self.shared_store.down = False
        self.wait(self.stored)

    def test_several_nodes_hand_off_a_job_once(self):
        for name in STORAGE_NODES:
            self.start_node(name)
        self.shared_store.down = True
        for name in STORAGE_NODES:
            self.assertEqual(self.send_hint(make_encoded(), name=name), JobHintState.KEPT)
        self.shared_store.down = False
        self.wait(lambda: not any(self.services[name].hint_count for name in STORAGE_NODES))
        self.assertEqual(self.shared_store.names(DocumentKind.JOB), ["j"])

    def test_node_without_a_disk_refuses_hints(self):
        self.start_node(disk=False)
        self.shared_store.down = True
        self.assertEqual(self.send_hint(make_encoded()), JobHintState.REFUSED)
        self.assertEqual(self.hinted_jobs, [])

    def test_job_id_of_another_tenant_is_refused(self):
        self.start_node()
        self.send_hint(make_encoded(tenant="parish"))
        self.assertEqual(self.send_hint(make_encoded(tenant="school")), JobHintState.REFUSED)

    def test_malformed_hint_is_refused(self):
        self.start_node()
        reply = self.network.node("edge").call(
            "k1", MessageType.JOB_HINT, JobHint(SHARD, "j", "[]"), JobHintReply, 5.0
        )
        self.assertEqual(reply.state, JobHintState.REFUSED)

    def test_expired_hint_is_not_written_to_the_store(self):
        """Its job may have completed and been removed while the storage node was down."""
        self.start_node()
        self.shared_store.down = True
        self.send_hint(make_encoded(age_seconds=hint_service.HINT_EXPIRY_SECONDS + 1))
        self.shared_store.down = False
        self.wait(lambda: not self.services["k1"].hint_count)
        self.assertFalse(self.stored())

    def test_hint_beyond_the_size_limit_is_refused(self):
        self.start_node()
        self.shared_store.down = True
        large = make_encoded("large", body="x" * hint_service.MAX_TOTAL_HINT_BYTES)
        self.assertEqual(self.send_hint(large, "large"), JobHintState.REFUSED)
        self.assertEqual(self.send_hint(make_encoded()), JobHintState.KEPT)


class HintClientTest(HintServiceTest):
    def client(self, copies=2, complete=True, names=STORAGE_NODES):
        quorum = StorageQuorum(LossTolerance(copies - 1)) if copies else None
        known = KnownStorageNodes(tuple(StorageNode(name, "z") for name in names), complete)
        return HintClient(self.network.node("edge"), SHARD, lambda: known, quorum)

    def test_accepted_once_enough_disks_have_it(self):
        for name in STORAGE_NODES:
            self.start_node(name)
        self.shared_store.down = True
        self.network.unreachable.add("k2")
        self.assertIs(self.client().send_hints("j", make_encoded()), HintOutcome.ACCEPTED)
        self.network.unreachable.add("k3")
        self.assertIs(self.client().send_hints("j2", make_encoded("j2")), HintOutcome.UNSURE)

    def test_accepted_when_one_storage_node_reaches_the_store(self):
        unreachable_store = MemoryDocumentStore()
        unreachable_store.down = True
        self.start_node("k1", store=unreachable_store)
        self.start_node("k2", disk=False, store=unreachable_store)
        self.start_node("k3", disk=False)
        self.assertIs(self.client(3).send_hints("j", make_encoded()), HintOutcome.ACCEPTED)
        self.assertTrue(self.stored())

    def test_refused_when_no_node_has_it(self):
        for name in STORAGE_NODES:
            self.start_node(name, disk=False)
        self.shared_store.down = True
        self.assertIs(self.client().send_hints("j", make_encoded()), HintOutcome.REFUSED)
        self.assertIs(self.client(4).send_hints("j", make_encoded()), HintOutcome.REFUSED)
        self.assertIs(self.client(0).send_hints("j", make_encoded()), HintOutcome.REFUSED)
        self.assertEqual(self.hinted_jobs, [])

    def test_job_with_a_hint_is_not_ruled_out(self):
        for name in STORAGE_NODES:
            self.start_node(name, first_start=True)
        self.shared_store.down = True
        self.send_hint(make_encoded(), name="k2")
        self.assertIs(self.client().look_up("j"), HintLookupResult.KEPT)
        self.assertIs(self.client().look_up("other"), HintLookupResult.RULED_OUT)

    def test_job_is_ruled_out_only_by_enough_nodes(self):
        """Nodes that do not reply must not count as having denied the job."""
        for name in STORAGE_NODES:
            self.start_node(name, first_start=True)
        self.network.unreachable.add("k1")
        self.assertIs(self.client().look_up("j"), HintLookupResult.RULED_OUT)
        self.network.unreachable.add("k2")
        self.assertIs(self.client().look_up("j"), HintLookupResult.UNSURE)

    def test_node_with_a_new_disk_cannot_deny_jobs(self):
        self.start_node("k1", first_start=True)
        self.start_node("k2")
        self.start_node("k3")
        self.assertIs(self.client().look_up("j"), HintLookupResult.UNSURE)

    def test_complete_history_stays_complete_after_a_restart(self):
        self.start_node("k1", first_start=True)
        self.wait(lambda: HintLog(self.folder / "k1").history_complete)
        self.services["k1"].stop()
        self.assertTrue(self.history_completes(self.start_node("k1")))

    def test_node_that_cannot_read_one_of_its_hints_does_not_deny_jobs(self):
        """Guards against a 404 for a job whose hint is on a disk that failed while it was read."""
        self.shared_store.down = True
        for name in STORAGE_NODES:
            self.start_node(name, first_start=True)
        self.wait(lambda: HintLog(self.folder / "k1").history_complete)
        for job_id in ("a", "b", "c"):
            self.send_hint(make_encoded(), job_id, name="k1")
        self.services["k1"].stop()
        read = hint_log._read
        unreadable = sorted((self.folder / "k1").glob("*.job"))[0]

        def read_failing(path):
            if path == unreadable:
                raise OSError("input/output error")
            return read(path)

        with mock.patch.object(hint_log, "_read", read_failing):
            service = self.start_node("k1")
        gevent.sleep(0.1)
        self.assertFalse(service._knows_all_hints)
        self.assertEqual(service.hint_count, 2)

    def test_node_that_cannot_list_its_hints_does_not_deny_jobs(self):
        """Guards against a 404 for an accepted job."""
        self.shared_store.down = True
        self.start_node("k1", first_start=True)
        self.wait(lambda: HintLog(self.folder / "k1").history_complete)
        self.send_hint(make_encoded(), "a", name="k1")
        self.services["k1"].stop()
        with mock.patch("os.scandir", side_effect=PermissionError("permission denied")):
            service = self.start_node("k1")
        gevent.sleep(0.1)
        self.assertEqual(service.hint_count, 0)
        self.assertFalse(service._knows_all_hints)

    def test_unreadable_hint_survives_a_failed_write_of_the_same_job(self):
        """Guards against a 404 for an accepted job after its sender has sent it again."""
        self.shared_store.down = True
        self.start_node("k1", first_start=True)
        self.wait(lambda: HintLog(self.folder / "k1").history_complete)
        self.assertEqual(self.send_hint(make_encoded(), "a", name="k1"), JobHintState.KEPT)
        self.services["k1"].stop()
        with mock.patch.object(hint_log, "_read", side_effect=OSError("input/output error")):
            self.start_node("k1")
        with mock.patch.object(hint_log.os, "write", side_effect=OSError("input/output error")):
            self.assertEqual(self.send_hint(make_encoded(), "a", name="k1"), JobHintState.REFUSED)
        self.services["k1"].stop()
        service = self.start_node("k1")
        gevent.sleep(0.1)
        self.assertTrue(service.hint_count or not service._knows_all_hints)

    def test_two_hints_of_a_job_at_once_do_not_damage_its_file(self):
        """Guards against a 404 for a job that a client has sent to two nodes."""
        self.shared_store.down = True
        self.start_node("k1", first_start=True)
        write = hint_log.os.write

        def write_slowly(descriptor, data):
            get_original("time", "sleep")(0.1)
            return write(descriptor, data)

        with mock.patch.object(hint_log.os, "write", write_slowly):
            sends = []
            for body in ("Ym9keQ==" * 100, "YQ=="):
                sends.append(gevent.spawn(self.send_hint, make_encoded(body=body)))
                gevent.sleep(0.02)
            gevent.joinall(sends)
        self.assertEqual([one.value for one in sends], [JobHintState.KEPT] * 2)
        self.services["k1"].stop()
        self.assertEqual(self.start_node("k1").hint_count, 1)

    def test_history_completes_after_the_marker_could_not_be_read(self):
        """Guards against 503 instead of 404 until the node is restarted."""
        marker_path = self.folder / "k1" / hint_log._HISTORY_MARKER
        stat = Path.stat

        def stat_failing(path, **arguments):
            if path == marker_path:
                raise OSError(errno.EIO, "input/output error")
            return stat(path, **arguments)

        with (
            mock.patch.object(hint_service, "NEW_DISK_WAIT_SECONDS", 0.05),
            mock.patch.object(Path, "stat", stat_failing),
        ):
            service = self.start_node("k1")
            gevent.sleep(0.1)
        gevent.sleep(0.2)
        self.assertTrue(service._knows_all_hints)

    def test_history_of_a_new_disk_completes_after_earlier_hints_expired(self):
        with mock.patch.object(hint_service, "NEW_DISK_WAIT_SECONDS", 0.05):
            service = self.start_node("k1")
            self.assertFalse(service._knows_all_hints)
            self.assertTrue(self.history_completes(service))
            self.wait(lambda: HintLog(self.folder / "k1").history_complete)

    def history_completes(self, service):
        self.wait(lambda: service._knows_all_hints)
        return True

    def test_client_with_incomplete_node_list_denies_no_jobs(self):
        for name in STORAGE_NODES:
            self.start_node(name, first_start=True)
        self.assertIs(self.client(complete=False).look_up("j"), HintLookupResult.UNSURE)

    def test_nodes_too_few_to_accept_a_job_do_not_rule_it_out(self):
        """Guards against denials by a new coordinator that no other storage node has pinged yet."""
        for name in STORAGE_NODES:
            self.start_node(name, first_start=True)
        self.shared_store.down = True
        self.send_hint(make_encoded(), name="k2")
        self.send_hint(make_encoded(), name="k3")
        self.assertIs(self.client(names=["k1"]).look_up("j"), HintLookupResult.UNSURE)


class SerializedJobTest(unittest.TestCase):
    def test_serialized_job_holds_document_and_parts(self):
        encoded = make_encoded()
        self.assertEqual(deserialize_job(serialize_job(encoded)), encoded)


if __name__ == "__main__":
    unittest.main()
