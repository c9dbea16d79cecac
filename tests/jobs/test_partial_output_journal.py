"""The journal of partial outputs, as read by a restarted process."""

import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

import gevent
from gevent.monkey import get_original

from runkeel.jobs import partial_output_journal, partial_output_replication
from runkeel.jobs.generation_run import PartialOutput
from runkeel.jobs.partial_output_journal import PartialOutputJournal
from runkeel.jobs.partial_output_replication import (
    RETENTION_SECONDS,
    PartialOutputCopies,
    PartialOutputSender,
)
from runkeel.wire.generated.jobs.ttypes import TextReplication
from runkeel_lab.standins.peer_network import MemoryNetwork

RECORD = TextReplication("fleet", 1, [], False)


class PartialOutputJournalTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "texts"
        self.outputs = {}
        self.network = MemoryNetwork()

    def _process(self, epoch=1, max_file_bytes=1_000_000):
        """Start a coordinator's process; returns its sender and the outputs restored from disk."""
        journal = PartialOutputJournal(self.folder, max_file_bytes)
        self.addCleanup(journal.close)
        found = PartialOutputCopies(self.network.node("a"), journal).take()
        sender = PartialOutputSender(
            self.network.node("a"), "fleet", epoch, lambda: self.outputs, lambda: [], journal
        )
        return sender, found

    def _files(self):
        return sorted(path.name for path in self.folder.iterdir())

    def _make_output(self, pieces, versions=(1,)):
        return PartialOutput([f"p{n}" for n in range(pieces)], str(pieces), list(versions))

    def _grow(self, output):
        output.pieces.append(f"p{len(output.pieces)}")
        output.last_event_id = str(len(output.pieces))

    def _write_steps(self, sender, steps):
        for _ in range(steps):
            self._grow(self.outputs["i"])
            sender.send_once()

    def test_restarted_process_restores_its_outputs(self):
        sender, found = self._process()
        self.assertEqual(found, {})
        self.outputs["i"] = self._make_output(2)
        sender.send_once()
        self._write_steps(sender, 3)
        copy = self._process(epoch=2)[1]["i"]
        self.assertEqual(copy.pieces, ["p0", "p1", "p2", "p3", "p4"])
        self.assertEqual((copy.last_event_id, copy.versions), ("5", [1]))

    def _append_slowly(self, journal, running_counts):
        """Start to append a record whose write takes 0.2 s, then kill the sender.

        Args:
            running_counts: gets the number of writes that are running at the start of each.
        """
        sleep_in_thread = get_original("time", "sleep")
        write_all = partial_output_journal._write_all
        running = []

        def write_slowly(descriptor, data):
            running.append(data)
            running_counts.append(len(running))
            sleep_in_thread(0.2)
            write_all(descriptor, data)
            running.remove(data)

        patch = mock.patch.object(partial_output_journal, "_write_all", write_slowly)
        patch.start()
        self.addCleanup(patch.stop)
        journal.load()
        sender = gevent.spawn(journal.append, lambda starts_file: [RECORD])
        gevent.sleep(0.1)
        sender.kill()

    def test_write_that_outlives_its_sender_is_finished_before_the_file_is_closed(self):
        """Otherwise it fails, or reaches whatever file or connection has the descriptor next."""
        journal = PartialOutputJournal(self.folder)
        self._append_slowly(journal, [])
        journal.close()
        gevent.sleep(0.3)
        self.assertIsNone(journal._descriptor)
        self.assertEqual(len(PartialOutputJournal(self.folder).load()), 1)

    def test_write_that_outlives_its_sender_does_not_overlap_the_next(self):
        """Guards against damaged records of two writes at once."""
        journal = PartialOutputJournal(self.folder)
        self.addCleanup(journal.close)
        running_counts = []
        self._append_slowly(journal, running_counts)
        journal.append(lambda starts_file: [RECORD])
        self.assertEqual(running_counts, [1, 1])
        self.assertEqual(len(PartialOutputJournal(self.folder).load()), 2)

    def test_file_closed_while_records_are_encoded_fails_no_append(self):
        """Guards against a TypeError of a term's last write while its node is stopped."""
        journal = PartialOutputJournal(self.folder)
        self.addCleanup(journal.close)
        journal.load()
        journal.append(lambda starts_file: [RECORD])
        append = gevent.spawn(journal.append, lambda starts_file: [RECORD, RECORD])
        gevent.sleep(0)
        journal.close()
        append.join()
        self.assertIsNone(append.exception)

    def test_file_closed_while_an_append_waits_for_a_write_fails_no_append(self):
        """As above, for a write that waits for the write of a killed handler."""
        journal = PartialOutputJournal(self.folder)
        self.addCleanup(journal.close)
        self._append_slowly(journal, [])
        append = gevent.spawn(journal.append, lambda starts_file: [RECORD])
        gevent.sleep(0.02)
        journal.close()
        append.join()
        self.assertIsNone(append.exception)

    def test_damaged_end_is_ignored(self):
        sender, _ = self._process()
        self.outputs["i"] = self._make_output(1)
        self._write_steps(sender, 3)
        path = self.folder / self._files()[-1]
        data = path.read_bytes()
        for damaged in (data[:-1], data[:-4] + b"\0\0\0\0"):
            with self.subTest(len(damaged)):
                path.write_bytes(damaged)
                self.assertEqual(self._process(epoch=2)[1]["i"].last_event_id, "3")
        path.write_bytes(b"\xff" * 40)
        self.assertEqual(self._process(epoch=2)[1], {})

    def test_new_file_starts_with_all_outputs_and_old_files_are_removed(self):
        sender, _ = self._process(max_file_bytes=200)
        self.outputs["other"] = self._make_output(4)
        self.outputs["i"] = self._make_output(1)
        self._write_steps(sender, 30)
        self.assertEqual(len(self._files()), 2)
        (self.folder / self._files()[0]).unlink()
        found = self._process(epoch=2)[1]
        self.assertEqual(found["other"].last_event_id, "4")
        self.assertEqual(found["i"].last_event_id, "31")

    def test_outputs_larger_than_a_file_are_not_rewritten_at_each_message(self):
        """Guards against a new file, with a copy of all outputs, at each message.

        Happens if the first record of a file exceeds the size limit; the copies take much memory.
        """
        sender, _ = self._process(max_file_bytes=200)
        self.outputs = {f"t{n}": self._make_output(40) for n in range(40)} | {
            "i": self._make_output(1)
        }
        sizes = []
        with mock.patch.object(
            partial_output_journal, "_encode", wraps=partial_output_journal._encode
        ) as encode:
            self._write_steps(sender, 10)
            sizes = [len(call.args[0].updates) for call in encode.call_args_list]
        self.assertEqual(sizes, [41] + [1] * 9)

    def test_outputs_larger_than_a_message_are_written_in_several_records(self):
        """Guards against a record too large to encode, which ends the writer's task."""
        sender, _ = self._process()
        piece = "x" * (partial_output_replication.MAX_MESSAGE_BYTES // 2)
        self.outputs = {f"t{n}": PartialOutput([piece], "1", [1]) for n in range(40)}
        sender.send_once()
        self.assertEqual(sorted(self._process(epoch=2)[1]), sorted(self.outputs))

    def test_second_restart_restores_outputs_from_before_the_first(self):
        sender, _ = self._process()
        self.outputs["i"] = self._make_output(3)
        sender.send_once()
        sender, _ = self._process(epoch=1)
        self.outputs = {"j": self._make_output(2)}
        sender.send_once()
        self.assertEqual(sorted(self._process(epoch=3)[1]), ["i", "j"])

    def test_outputs_of_an_earlier_term_are_dropped(self):
        sender, _ = self._process(epoch=1)
        self.outputs["i"] = self._make_output(3, versions=(1,))
        sender.send_once()
        sender, _ = self._process(epoch=2)
        self.outputs = {"j": self._make_output(2)}
        sender.send_once()
        self.assertEqual(sorted(self._process(epoch=3)[1]), ["j"])

    def test_failed_disk_is_retried_later_with_all_outputs(self):
        sender, _ = self._process()
        self.outputs["i"] = self._make_output(2)
        with mock.patch.object(partial_output_journal.os, "fdatasync", side_effect=OSError("disk")):
            self._write_steps(sender, 2)
        self._write_steps(sender, 1)
        sender._journal._failed_at = -partial_output_journal.RETRY_DELAY_SECONDS
        self._write_steps(sender, 1)
        self.assertEqual(self._process(epoch=2)[1]["i"].last_event_id, "6")

    def test_uncreatable_folder_raises_no_error(self):
        self.folder.parent.joinpath("texts").write_text("a file")
        sender, found = self._process()
        self.outputs["i"] = self._make_output(2)
        sender.send_once()
        self.assertEqual(found, {})

    def test_successor_journals_received_updates(self):
        journal = PartialOutputJournal(self.folder)
        self.addCleanup(journal.close)
        copies = PartialOutputCopies(self.network.node("b"), journal)
        sender = PartialOutputSender(
            self.network.node("a"), "fleet", 4, lambda: self.outputs, lambda: ["b"]
        )
        self.outputs["i"] = self._make_output(2)
        self._write_steps(sender, 2)
        restarted = PartialOutputCopies(self.network.node("b"), PartialOutputJournal(self.folder))
        self.assertEqual(restarted.epoch, 4)
        self.assertEqual(restarted.take()["i"].pieces, copies.take()["i"].pieces)

    def test_outputs_past_the_retention_period_are_not_restored(self):
        now = time.time()
        sender, _ = self._process()
        for name, age in (("old", RETENTION_SECONDS + 1.0), ("i", 1.0)):
            self.outputs[name] = self._make_output(2)
            with mock.patch.object(partial_output_journal.time, "time", return_value=now - age):
                sender.send_once()
        self.assertEqual(list(self._process(epoch=2)[1]), ["i"])

    def test_outputs_are_restored_after_the_clock_was_set_back(self):
        sender, _ = self._process()
        self.outputs["i"] = self._make_output(2)
        with mock.patch.object(
            partial_output_journal.time, "time", return_value=time.time() + 3600.0
        ):
            sender.send_once()
        self.assertEqual(list(self._process(epoch=2)[1]), ["i"])


if __name__ == "__main__":
    unittest.main()
