"""Replication of partial outputs to the coordinator's successors."""

import unittest
from unittest import mock

from runkeel.errors import RunkeelError, Verdict
from runkeel.jobs.generation_run import PartialOutput
from runkeel.jobs.partial_output_replication import (
    MAX_MESSAGE_BYTES,
    PartialOutputCopies,
    PartialOutputSender,
)
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel_lab.standins.peer_network import MemoryNetwork


def make_output(*pieces, versions=(1,), complete=False):
    return PartialOutput(list(pieces), str(len(pieces)), list(versions), complete)


class PartialOutputReplicationTest(unittest.TestCase):
    def setUp(self):
        self.network = MemoryNetwork()
        self.copies = PartialOutputCopies(self.network.node("b"))
        self.outputs = {}
        self.finished = set()
        self.successors = ["b"]
        self.sender = self._sender(1)

    def _sender(self, epoch):
        return PartialOutputSender(
            self.network.node("a"),
            "fleet",
            epoch,
            lambda: self.outputs,
            lambda: self.successors,
            finished=lambda item_id: item_id in self.finished,
        )

    def test_successor_has_the_output(self):
        self.outputs["i"] = make_output("x", "y", versions=(1, 2))
        self.sender.send_once()
        self.outputs["i"].pieces.append("z")
        self.outputs["i"].last_event_id = "3"
        self.sender.send_once()
        copy = self.copies.take()["i"]
        self.assertEqual(copy.pieces, ["x", "y", "z"])
        self.assertEqual((copy.last_event_id, copy.versions), ("3", [1, 2]))

    def test_restarted_output_replaces_the_copy(self):
        output = self.outputs["i"] = make_output("x", "y")
        self.sender.send_once()
        output.clear()
        output.pieces.extend(["p", "q", "r"])
        output.versions.append(2)
        self.sender.send_once()
        copy = self.copies.take()["i"]
        self.assertEqual((copy.pieces, copy.versions), (["p", "q", "r"], [2]))

    def test_another_output_of_the_same_item_replaces_the_copy(self):
        """Guards against a copy that joins pieces of two runs."""
        self.outputs["i"] = make_output("a", "b", versions=(1,))
        self.sender.send_once()
        self.outputs["i"] = make_output("p", "q", "r", versions=(2,))
        self.sender.send_once()
        copy = self.copies.take()["i"]
        self.assertEqual((copy.pieces, copy.versions), (["p", "q", "r"], [2]))

    def test_output_taken_over_has_a_new_revision(self):
        self.outputs["i"] = make_output("a", "b")
        self.sender.send_once()
        taken = self.copies.take()["i"]
        self.assertNotEqual(taken.revision, self.outputs["i"].revision)

    def test_copies_of_listed_items_are_removed_and_others_stay(self):
        """Guards against handing over outputs of items that are already listed."""
        self.finished = {"i"}
        self.outputs["i"], self.outputs["j"] = make_output("x"), make_output("y")
        self.sender.send_once()
        self.outputs.clear()
        self.sender.send_once()
        self.assertEqual(list(self.copies.take()), ["j"])

    def test_item_that_is_run_again_is_copied_again(self):
        self.finished = {"i"}
        self.outputs["i"] = make_output("x")
        self.sender.send_once()
        del self.outputs["i"]
        self.sender.send_once()
        self.outputs["i"] = make_output("p", "q")
        self.sender.send_once()
        self.assertEqual(self.copies.take()["i"].pieces, ["p", "q"])

    def test_completion_is_replicated(self):
        output = self.outputs["i"] = make_output("x")
        self.sender.send_once()
        output.complete = True
        self.sender.send_once()
        self.assertTrue(self.copies.take()["i"].complete)

    def test_lost_update_is_sent_again(self):
        output = self.outputs["i"] = make_output("x")
        self.sender.send_once()
        self.network.unreachable.add("b")
        output.pieces.append("y")
        self.sender.send_once()
        self.network.unreachable.clear()
        output.pieces.append("z")
        self.sender.send_once()
        self.assertEqual(self.copies.take()["i"].pieces, ["x", "y", "z"])

    def test_restarted_successor_requests_the_full_output(self):
        output = self.outputs["i"] = make_output("x")
        self.sender.send_once()
        self.copies = PartialOutputCopies(self.network.node("b"))
        output.pieces.append("y")
        self.sender.send_once()
        self.assertEqual(self.copies.take(), {})
        self.sender.send_once()
        self.assertEqual(self.copies.take()["i"].pieces, ["x", "y"])

    def test_new_successor_gets_full_outputs(self):
        other = PartialOutputCopies(self.network.node("c"))
        self.outputs["i"] = make_output("x", "y")
        self.sender.send_once()
        self.successors = ["b", "c"]
        self.sender.send_once()
        self.assertEqual(other.take()["i"].pieces, ["x", "y"])

    def test_updates_of_an_earlier_epoch_are_ignored(self):
        self.outputs["i"] = make_output("new")
        self._sender(2).send_once()
        self.outputs["i"] = make_output("old", "old")
        self.sender.send_once()
        self.assertEqual(self.copies.take()["i"].pieces, ["new"])

    def test_large_updates_are_split_into_several_messages(self):
        """Guards against one message of all outputs that times out."""
        piece = "x" * (MAX_MESSAGE_BYTES // 4)
        for number in range(9):
            self.outputs[f"i{number}"] = make_output(piece)
        sizes = []
        with mock.patch.object(self.copies, "_apply", wraps=self.copies._apply) as apply:
            receive = self.copies._receive

            def count(peer, message):
                sizes.append(len(message.updates))
                return receive(peer, message)

            self.network.register("b", MessageType.TEXT_REPLICATION, count)
            self.sender.send_once()
        self.assertEqual((sizes, apply.call_count), ([4, 4, 1], 9))

    def test_delivered_messages_are_not_sent_again_after_a_lost_one(self):
        """Guards against each lost reply causing all outputs to be sent again."""
        piece = "x" * (MAX_MESSAGE_BYTES // 2)
        for number in range(4):
            self.outputs[f"i{number}"] = make_output(piece)
        receive, sent = self.copies._receive, []

        def lose_second(peer, message):
            sent.append([update.item_id for update in message.updates])
            if len(sent) == 2:
                raise RunkeelError("peer_lost", "lost", Verdict.MAY_HAVE_RUN)
            return receive(peer, message)

        self.network.register("b", MessageType.TEXT_REPLICATION, lose_second)
        self.sender.send_once()
        self.sender.send_once()
        self.assertEqual(sent, [["i0", "i1"], ["i2", "i3"], ["i2", "i3"]])
        self.assertEqual(len(self.copies.take()), 4)

    def test_output_read_by_the_node_itself_is_kept_for_a_later_term(self):
        self.copies.keep_local(3, "i", make_output("x", "y"))
        self.copies.keep_local(3, "i", make_output("x"))
        self.copies.keep_local(2, "j", make_output("z"))
        self.assertEqual(self.copies.epoch, 3)
        taken = self.copies.take()
        self.assertEqual({name: output.pieces for name, output in taken.items()}, {"i": ["x", "y"]})

    def test_unreachable_successor_raises_no_error(self):
        self.network.unreachable.add("b")
        self.outputs["i"] = make_output("x")
        self.sender.send_once()
        with self.assertRaises(RunkeelError) as caught:
            self.network.call("a", "b", 1, None)
        self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)


if __name__ == "__main__":
    unittest.main()
