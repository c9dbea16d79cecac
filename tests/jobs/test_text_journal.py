"""Texts on a machine's disk: what a restarted process finds of them."""

import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

from runkeel.jobs import text_journal, text_replication
from runkeel.jobs.generation_run import PartialText
from runkeel.jobs.text_journal import TextJournal
from runkeel.jobs.text_replication import RETENTION_SECONDS, TextCopies, TextSender
from runkeel_lab.standins.peer_network import MemoryNetwork


class TextJournalTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "texts"
        self.texts = {}
        self.network = MemoryNetwork()

    def _process(self, epoch=1, maximum=1_000_000):
        """Start a coordinator's process; returns its sender and what it found on the disk."""
        journal = TextJournal(self.folder, maximum)
        self.addCleanup(journal.close)
        found = TextCopies(self.network.node("a"), journal).take()
        sender = TextSender(
            self.network.node("a"), "fleet", epoch, lambda: self.texts, lambda: [], journal
        )
        return sender, found

    def _files(self):
        return sorted(path.name for path in self.folder.iterdir())

    def _text(self, pieces, versions=(1,)):
        return PartialText([f"p{n}" for n in range(pieces)], str(pieces), list(versions))

    def _grow(self, text):
        text.pieces.append(f"p{len(text.pieces)}")
        text.last_event_id = str(len(text.pieces))

    def _write_steps(self, sender, steps):
        for _ in range(steps):
            self._grow(self.texts["i"])
            sender.send_once()

    def test_restarted_process_finds_its_texts(self):
        sender, found = self._process()
        self.assertEqual(found, {})
        self.texts["i"] = self._text(2)
        sender.send_once()
        self._write_steps(sender, 3)
        copy = self._process(epoch=2)[1]["i"]
        self.assertEqual(copy.pieces, ["p0", "p1", "p2", "p3", "p4"])
        self.assertEqual((copy.last_event_id, copy.versions), ("5", [1]))

    def test_damaged_end_is_left_out(self):
        sender, _ = self._process()
        self.texts["i"] = self._text(1)
        self._write_steps(sender, 3)
        path = self.folder / self._files()[-1]
        data = path.read_bytes()
        for damaged in (data[:-1], data[:-4] + b"\0\0\0\0"):
            with self.subTest(len(damaged)):
                path.write_bytes(damaged)
                self.assertEqual(self._process(epoch=2)[1]["i"].last_event_id, "3")
        path.write_bytes(b"\xff" * 40)
        self.assertEqual(self._process(epoch=2)[1], {})

    def test_new_file_begins_with_all_texts_and_older_ones_go(self):
        sender, _ = self._process(maximum=200)
        self.texts["other"] = self._text(4)
        self.texts["i"] = self._text(1)
        self._write_steps(sender, 30)
        self.assertEqual(len(self._files()), 2)
        (self.folder / self._files()[0]).unlink()
        found = self._process(epoch=2)[1]
        self.assertEqual(found["other"].last_event_id, "4")
        self.assertEqual(found["i"].last_event_id, "31")

    def test_texts_larger_than_a_file_are_not_all_written_at_each_message(self):
        """Trial with 241 engines: a successor held several copies of all texts, and was killed.

        Each message began a new file, as the first record alone was larger than a file may be.
        """
        sender, _ = self._process(maximum=200)
        self.texts = {f"t{n}": self._text(40) for n in range(40)} | {"i": self._text(1)}
        sizes = []
        with mock.patch.object(text_journal, "_encode", wraps=text_journal._encode) as encode:
            self._write_steps(sender, 10)
            sizes = [len(call.args[0].updates) for call in encode.call_args_list]
        self.assertEqual(sizes, [41] + [1] * 9)

    def test_texts_larger_than_a_message_are_written_in_several_records(self):
        """Trial with 241 engines: 19 MB of texts were no message, and the writer's task died."""
        sender, _ = self._process()
        piece = "x" * (text_replication.MAX_MESSAGE_BYTES // 2)
        self.texts = {f"t{n}": PartialText([piece], "1", [1]) for n in range(40)}
        sender.send_once()
        self.assertEqual(sorted(self._process(epoch=2)[1]), sorted(self.texts))

    def test_second_restart_still_finds_what_the_first_had_not_written(self):
        sender, _ = self._process()
        self.texts["i"] = self._text(3)
        sender.send_once()
        sender, _ = self._process(epoch=1)
        self.texts = {"j": self._text(2)}
        sender.send_once()
        self.assertEqual(sorted(self._process(epoch=3)[1]), ["i", "j"])

    def test_texts_of_an_earlier_term_are_not_joined_with_those_of_a_later_one(self):
        sender, _ = self._process(epoch=1)
        self.texts["i"] = self._text(3, versions=(1,))
        sender.send_once()
        sender, _ = self._process(epoch=2)
        self.texts = {"j": self._text(2)}
        sender.send_once()
        self.assertEqual(sorted(self._process(epoch=3)[1]), ["j"])

    def test_disk_that_fails_is_tried_again_later_with_all_texts(self):
        sender, _ = self._process()
        self.texts["i"] = self._text(2)
        with mock.patch.object(text_journal.os, "fdatasync", side_effect=OSError("disk")):
            self._write_steps(sender, 2)
        self._write_steps(sender, 1)
        sender._journal._failed_at = -text_journal.RETRY_SECONDS
        self._write_steps(sender, 1)
        self.assertEqual(self._process(epoch=2)[1]["i"].last_event_id, "6")

    def test_folder_that_can_not_be_made(self):
        self.folder.parent.joinpath("texts").write_text("a file")
        sender, found = self._process()
        self.texts["i"] = self._text(2)
        sender.send_once()
        self.assertEqual(found, {})

    def test_successor_writes_what_it_receives(self):
        journal = TextJournal(self.folder)
        self.addCleanup(journal.close)
        copies = TextCopies(self.network.node("b"), journal)
        sender = TextSender(self.network.node("a"), "fleet", 4, lambda: self.texts, lambda: ["b"])
        self.texts["i"] = self._text(2)
        self._write_steps(sender, 2)
        restarted = TextCopies(self.network.node("b"), TextJournal(self.folder))
        self.assertEqual(restarted.epoch, 4)
        self.assertEqual(restarted.take()["i"].pieces, copies.take()["i"].pieces)

    def test_texts_that_were_not_written_for_long_are_left_out(self):
        now = time.time()
        sender, _ = self._process()
        for name, age in (("old", RETENTION_SECONDS + 1.0), ("i", 1.0)):
            self.texts[name] = self._text(2)
            with mock.patch.object(text_journal.time, "time", return_value=now - age):
                sender.send_once()
        self.assertEqual(list(self._process(epoch=2)[1]), ["i"])

    def test_clock_that_was_set_back_does_no_harm(self):
        sender, _ = self._process()
        self.texts["i"] = self._text(2)
        with mock.patch.object(text_journal.time, "time", return_value=time.time() + 3600.0):
            sender.send_once()
        self.assertEqual(list(self._process(epoch=2)[1]), ["i"])


if __name__ == "__main__":
    unittest.main()
