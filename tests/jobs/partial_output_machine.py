"""State machine for the fuzzing of partial outputs, their copies and their journals.

Items start, grow, restart, are listed or dropped; messages and replies are lost; processes restart
and take over; journals are truncated. The oracle records every output that an item ever had, and
checks that each output taken over is one of them, never joined from two runs.
"""

import shutil
import tempfile
from pathlib import Path
from unittest import mock

from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, rule

from runkeel.errors import RunkeelError, Verdict
from runkeel.jobs import partial_output_journal
from runkeel.jobs.generation_run import PartialOutput
from runkeel.jobs.partial_output_journal import PartialOutputJournal
from runkeel.jobs.partial_output_replication import PartialOutputCopies, PartialOutputSender
from runkeel_lab.standins.peer_network import MemoryNetwork

ITEMS = 1
JOURNAL_BYTES = 600
"""Small enough that files are rotated."""

item_names = strategies.sampled_from([f"i{n}" for n in range(ITEMS)])
growths = strategies.integers(1, 4)


class _LossyNode:
    """A node's network that can lose the next call, before or after it is handled."""

    def __init__(self, node):
        self._node = node
        self.lose = ""

    def on_call(self, *arguments):
        self._node.on_call(*arguments)

    def call(self, *arguments):
        lose, self.lose = self.lose, ""
        if lose != "message":
            reply = self._node.call(*arguments)
        if lose:
            raise RunkeelError("peer_lost", "lost", Verdict.MAY_HAVE_RUN)
        return reply


class PartialOutputMachine(RuleBasedStateMachine):
    """A coordinator and a successor, both with journals."""

    def __init__(self):
        super().__init__()
        self.folder = Path(tempfile.mkdtemp(prefix="runkeel-texts-"))
        self.patches = [
            mock.patch.object(partial_output_journal.os, name, lambda descriptor: None)
            for name in ("fdatasync", "fsync")
        ]
        for patch in self.patches:
            patch.start()
        self.network = MemoryNetwork()
        self.history = {}
        self.outputs = {}
        self.listed = set()
        self.runs = 0
        self.epoch = 1
        self.journals = {}
        self.copies = {name: self._restored(name) for name in ("a", "b")}
        self.sender = self._new_sender("a")

    def teardown(self):
        for journal in self.journals.values():
            journal.close()
        for patch in self.patches:
            patch.stop()
        shutil.rmtree(self.folder)

    def _restored(self, name):
        if name in self.journals:
            self.journals[name].close()
        self.journals[name] = PartialOutputJournal(self.folder / name, JOURNAL_BYTES)
        return PartialOutputCopies(self.network.node(name), self.journals[name])

    def _new_sender(self, name):
        self.coordinator = name
        self.other = "b" if name == "a" else "a"
        self.link = _LossyNode(self.network.node(name))
        return PartialOutputSender(
            self.link,
            "fleet",
            self.epoch,
            lambda: self.outputs,
            lambda: [self.other],
            self.journals[name],
            lambda item: item in self.listed,
        )

    def _record(self, item):
        self.history.setdefault(item, set()).add(tuple(self.outputs[item].pieces))

    def _take_over(self, name):
        """Make a node coordinator from its copies; each must be an output that the item had."""
        self.epoch += 1
        self.outputs = self.copies[name].take()
        self.listed.clear()
        for item, output in self.outputs.items():
            known = self.history.get(item, set())
            assert tuple(output.pieces) in known, f"{item} never had {output.pieces}"
            assert output.last_event_id == (str(len(output.pieces)) if output.pieces else None)
        self.sender = self._new_sender(name)

    @rule(item=item_names, growth=growths)
    def grow_and_send(self, item, growth):
        """An item produces events, and they are sent."""
        self.grow(item, growth)
        self.sender.send_once()

    @rule(item=item_names, growth=growths)
    def grow(self, item, growth):
        """An item produces events; it starts if it is not running."""
        self.listed.discard(item)
        output = self.outputs.setdefault(item, PartialOutput())
        if not output.pieces:
            self.runs += 1
        for _ in range(growth):
            output.pieces.append(f"{item} of run {self.runs}, piece {len(output.pieces)}")
        output.last_event_id = str(len(output.pieces))
        output.versions = [1]
        self._record(item)

    @rule(item=item_names)
    def restart(self, item):
        """An item's output is discarded and generated again."""
        if item in self.outputs:
            self.outputs[item].clear()
            self._record(item)

    @rule(item=item_names, listed=strategies.booleans())
    def end(self, item, listed):
        """An item's result is listed, or its job ends without it."""
        if self.outputs.pop(item, None) is not None and listed:
            self.listed.add(item)

    @rule(lose=strategies.sampled_from(["", "", "message", "reply"]))
    def send(self, lose):
        """New events are sent; the message or its reply may be lost."""
        self.link.lose = lose
        self.sender.send_once()

    def _truncate(self, name, count):
        """Truncate a node's journal by a number of bytes."""
        files = sorted((self.folder / name).glob("*.log"))
        if files and count:
            files[-1].write_bytes(files[-1].read_bytes()[:-count])

    @rule(truncated_bytes=strategies.integers(0, 60))
    def successor_restarts(self, truncated_bytes):
        """The successor restarts from its journal, which may lack the last updates it received."""
        self._truncate(self.other, truncated_bytes)
        self.copies[self.other] = self._restored(self.other)

    @rule(truncated_bytes=strategies.integers(0, 60), successor=strategies.booleans())
    def coordinator_ends(self, truncated_bytes, successor):
        """The coordinator's process ends, possibly mid-write; either node takes over."""
        before = self.coordinator
        self._truncate(before, truncated_bytes)
        if successor:
            self._take_over(self.other)
            self.copies[before] = self._restored(before)
        else:
            self.copies[before] = self._restored(before)
            self._take_over(before)
