"""Stateful fuzzing of writers, spread and catch-up against a plain dictionary."""

import random
import types
import unittest
from unittest import mock

import gevent
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from runkeel.api.configuration import ObjectKind
from runkeel.errors import ErrorCode, RunkeelError, Verdict
from runkeel.state import changes, watchers
from runkeel.state.changes import ConfigurationWriter
from runkeel.state.replicated_state import RecordSource, ReplicatedState
from runkeel.state.store_records import record_from_object
from tests.fuzzing import find_violation
from tests.state.fakes import FakeCluster, FakeMachineList, FakeStore

ZONES = {"n0": "a", "n1": "a", "n2": "b", "n3": "b"}
NODES = st.sampled_from(sorted(ZONES))
NAMES = st.sampled_from(["stock", "tariff"])
KIND = ObjectKind.SERVICE


class VirtualTime:
    """Stands in for ``time`` and ``gevent`` in the writer, so that runs are repeatable."""

    def __init__(self):
        self.now = 0.0

    def monotonic(self):
        return self.now

    def sleep(self, seconds):
        self.now += max(seconds, 0.001)
        gevent.sleep(0)


class ConfigurationMachine(RuleBasedStateMachine):
    """The oracle is ``accepted``: (name, generation) -> command id of each accepted command."""

    state_class = ReplicatedState
    writer_class = ConfigurationWriter

    def __init__(self):
        super().__init__()
        self.store = FakeStore()
        self.cluster = FakeCluster(self.store)
        self.accepted: dict[tuple[str, int], str] = {}
        self.unknown: dict[str, tuple[str, int]] = {}
        self.refused: set[str] = set()
        self.versions = {}
        self.seen: dict[tuple[str, str], int] = {}
        self.backups = [{}]
        self.store_behind = False
        self.commands = 0
        clock = VirtualTime()
        shim = types.SimpleNamespace(sleep=clock.sleep)
        self.patches = [
            mock.patch.object(changes, "time", clock),
            mock.patch.object(changes, "gevent", shim),
            mock.patch.object(watchers, "SETTLE_SECONDS", (0.0, 0.0)),
        ]
        for patch in self.patches:
            patch.start()
        for node_id in ZONES:
            self.start_node(node_id)

    def start_node(self, node_id):
        node = self.cluster.add(node_id, ZONES[node_id], self.state_class)
        node.writer.__class__ = self.writer_class
        return node

    def command(self, node_id, name, value, command_id, expected=None):
        """Run a command and book its outcome in the oracle."""
        try:
            outcome = self.cluster.nodes[node_id].writer.change(
                KIND,
                name,
                lambda spec: {"max_in_flight": value},
                command_id,
                node_id,
                expected_generation=expected,
                timeout_seconds=0.5,
            )
        except RunkeelError as error:
            if error.code is ErrorCode.STORE_OUTCOME_UNKNOWN:
                assert error.verdict is Verdict.MAY_HAVE_RUN
                self.unknown[command_id] = (name, value)
            else:
                assert error.verdict is Verdict.NOT_RUN
                if command_id not in self.unknown:
                    self.refused.add(command_id)
            return False
        self.unknown.pop(command_id, None)
        if outcome.changed:
            earlier = self.accepted.setdefault((name, outcome.generation), command_id)
            assert earlier == command_id, "two commands were told of one generation"
        return outcome.changed

    def next_command_id(self):
        self.commands += 1
        return f"c{self.commands}"

    @rule(node_id=NODES, name=NAMES)
    def change(self, node_id, name):
        command_id = self.next_command_id()
        self.command(node_id, name, self.commands, command_id)
        self.cluster.settle()

    @rule(
        node_id=NODES,
        name=NAMES,
        fault=st.sampled_from(["lose", "delay"]),
        operations_until_down=st.integers(2, 5),
    )
    def change_with_lost_answer(self, node_id, name, fault, operations_until_down):
        self.fault_store(fault, operations_until_down)
        self.change(node_id, name)
        self.fault_store("up", None)

    @precondition(lambda self: self.unknown)
    @rule(node_id=NODES, data=st.data())
    def send_unknown_again(self, node_id, data):
        command_id = data.draw(st.sampled_from(sorted(self.unknown)))
        name, value = self.unknown[command_id]
        self.command(node_id, name, value, command_id)
        self.cluster.settle()

    @precondition(lambda self: not (self.store.down or self.store.unreachable))
    @rule(name=NAMES)
    def race(self, name):
        self.store.lose_answers = self.store.delay_writes = 0
        self.store.operations_until_down = None
        expected = max((record.generation for record in self.records_of(name)), default=0)
        before = self.commands
        tasks = [
            gevent.spawn(
                self.command, node_id, name, 1_000 + before, self.next_command_id(), expected
            )
            for node_id in ZONES
        ]
        gevent.joinall(tasks, raise_error=True)
        self.cluster.settle()
        assert sum(task.value for task in tasks) == 1, "not exactly one winner"

    @rule(
        fault=st.sampled_from(["up", "down", "unreachable", "lose", "delay"]),
        operations_until_down=st.none() | st.integers(2, 6),
    )
    def fault_store(self, fault, operations_until_down):
        self.store.operations_until_down = operations_until_down
        self.store.down = fault == "down"
        self.store.unreachable = fault == "unreachable"
        self.store.lose_answers = 1 if fault == "lose" else 0
        self.store.delay_writes = 1 if fault == "delay" else 0

    @rule()
    def land_delayed_writes(self):
        self.store.land_delayed_writes()

    @rule(data=st.data(), name=NAMES)
    def old_read(self, data, name):
        versions = [item for backup in self.backups for key, item in backup.items()]
        versions = [item for item in versions if item.name == name]
        if versions:
            self.store.old_reads[(KIND, name)] = data.draw(st.sampled_from(versions))

    @precondition(lambda self: self.versions)
    @rule(node_id=NODES, data=st.data())
    def late_event(self, node_id, data):
        key = data.draw(st.sampled_from(sorted(self.versions)))
        self.cluster.nodes[node_id].state.apply([self.versions[key]], RecordSource.STORE)

    @rule()
    def backup(self):
        self.backups.append(self.store.backup())

    @precondition(lambda self: not self.cluster.isolated and self.all_agree())
    @rule(data=st.data(), rewind=st.booleans())
    def restore_older_store(self, data, rewind):
        self.store.restore(data.draw(st.sampled_from(self.backups)), rewind)
        self.store_behind = True

    @rule(node_id=NODES)
    def restart(self, node_id):
        node = self.start_node(node_id)
        for name in ("stock", "tariff"):
            self.seen.pop((node_id, name), None)
        peers = [member.node_id for member in node.membership.live_members()]
        peer = next((peer for peer in peers if peer != node_id), None)
        if peer is not None:
            node.spread.anti_entropy.synchronize(peer)

    @precondition(lambda self: not self.store_behind)
    @rule(isolated=st.sampled_from([{"n0"}, {"n2", "n3"}, {"n1", "n2"}]))
    def cut(self, isolated):
        self.cluster.isolated = set(isolated)

    @rule()
    def heal(self):
        self.cluster.isolated.clear()

    @rule(node_id=NODES, other=NODES)
    def catch_up(self, node_id, other):
        if node_id != other and self.cluster.reachable(node_id, other):
            self.cluster.nodes[node_id].spread.anti_entropy.synchronize(other)
            self.cluster.settle()

    @rule(node_id=NODES)
    def watch(self, node_id):
        node = self.cluster.nodes[node_id]
        source = random.Random(1)
        watcher = watchers.Watchers(
            node.state, node.spread, node.membership, self.store, FakeMachineList(), source
        )
        try:
            watcher.poll_objects()
        except RunkeelError:
            return
        self.store_behind = False
        self.cluster.settle()

    def records_of(self, name):
        held = [node.state.get(KIND, name) for node in self.cluster.nodes.values()]
        held.append(record_from_object(self.store.objects.get((KIND, name))))
        return [record for record in held if record is not None]

    def all_agree(self):
        stored = ReplicatedState()
        records = map(record_from_object, self.store.objects.values())
        stored.apply(records, RecordSource.STORE)
        return {node.state.digest for node in self.cluster.nodes.values()} == {stored.digest}

    @invariant()
    def nothing_is_reverted(self):
        for node_id, node in self.cluster.nodes.items():
            for record in node.state.records(KIND):
                seen = self.seen.get((node_id, record.name), 0)
                assert record.generation >= seen, "reverted on a node"
                self.seen[(node_id, record.name)] = record.generation

    @invariant()
    def nothing_accepted_is_lost_and_nothing_refused_ran(self):
        for (name, generation), command_id in self.accepted.items():
            highest = max((record.generation for record in self.records_of(name)), default=0)
            assert highest >= generation, "an accepted change is lost"
            version = self.versions.get((name, generation))
            assert version is None or version.command_ids[-1] == command_id
        for name in ("stock", "tariff"):
            for record in self.records_of(name):
                version = self.versions.setdefault((name, record.generation), record)
                assert version == record, "two versions of one generation"
                assert not self.refused.intersection(record.command_ids), "a refused one ran"
                assert len(set(record.command_ids)) == len(record.command_ids), "ran twice"

    def teardown(self):
        try:
            self.check_healed()
        finally:
            self.cluster.close()
            for patch in self.patches:
                patch.stop()

    def check_healed(self):
        self.store.land_delayed_writes()
        self.fault_store("up", None)
        self.heal()
        self.cluster.repair()
        for node_id in ZONES:
            self.watch(node_id)
        self.cluster.repair()
        self.nothing_is_reverted()
        self.nothing_accepted_is_lost_and_nothing_refused_ran()
        assert self.all_agree(), "nodes and store differ after healing"


class TakesLowerGenerations(ReplicatedState):
    """A broken map: the last record heard of wins."""

    def _supersedes(self, record, held):
        return record != held


class ForgetsLostWrites(ConfigurationWriter):
    """A broken writer: a lost answer counts as a write that did not happen."""

    def _write(self, command, attempts, content, revision):
        try:
            return super()._write(command, attempts, content, revision)
        finally:
            attempts.unsettled = None


class DropsUnsettledWrites(ConfigurationWriter):
    """A broken writer: a lost write that isn't in the store yet counts as one that won't be."""

    def _settle(self, command, attempts, revision, held):
        attempts.unsettled = None


class BelievesTheStore(ConfigurationWriter):
    """A broken writer: what the store shows is taken as the newest."""

    def _attempt(self, command, attempts):
        stored = self._store.read(command.kind, command.name, attempts.timeout_seconds)
        content = self._next_content(command, record_from_object(stored))
        if content is None:
            return changes.ChangeOutcome(0, changed=False)
        revision = stored.revision if stored is not None else 0
        return self._write(command, attempts, content, revision)


def fuzz_settings(examples, phases):
    return settings(
        derandomize=True,
        deadline=None,
        max_examples=examples,
        stateful_step_count=30,
        print_blob=False,
        report_multiple_bugs=False,
        phases=phases,
    )


class ConfigurationFuzzTest(unittest.TestCase):
    def test_accepted_changes_hold_whatever_fails(self):
        options = fuzz_settings(200, (Phase.generate, Phase.shrink))
        run_state_machine_as_test(ConfigurationMachine, settings=options)

    def test_the_machine_finds_deliberate_faults(self):
        mutants = {
            "lower generations": {"state_class": TakesLowerGenerations},
            "lost answers": {"writer_class": ForgetsLostWrites},
            "writes on their way": {"writer_class": DropsUnsettledWrites},
            "older store": {"writer_class": BelievesTheStore},
        }
        for name, overrides in mutants.items():
            machine = type("Machine", (ConfigurationMachine,), overrides)
            with self.subTest(name):
                self.assertIsNotNone(find_violation(machine, fuzz_settings(80, (Phase.generate,))))
