"""State machine over a cluster of three nodes, a trainer and faults; the oracle is three sets.

Nothing here waits for real time: nodes take a turn when a rule says so, and the clock by which
samples age belongs to the test. A paused owner is a pull that is held up inside a call to the
records, before or after it took effect, and goes on any number of rules later.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

import gevent
from gevent.event import Event
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from runkeel.errors import ErrorCode, RunkeelError
from runkeel.rollouts.hand_over import Batch, Pull
from tests.rollouts.fakes import FAST, FakeCluster, submission, token

NODES = ("a1", "b1", "c1")
TASKS = 6
MAXIMUM_VERSIONS = 2
MAXIMUM_SECONDS = 100.0
MAXIMUM_PARKED = 3
SETTLE_TURNS = 12
HEALING_ROUNDS = 40
OPTIONS = replace(
    FAST,
    retry_base_seconds=0.0,
    planner_interval_seconds=0.0,
    records_timeout_seconds=0.0,
)
NEVER_EXPECTED = {ErrorCode.BAD_CURSOR, ErrorCode.INTERNAL, ErrorCode.STEP_CONFLICT}

nodes = st.sampled_from(NODES)
moments = st.sampled_from(["before", "after", "read"])


class Oracle:
    """What every answer to a trainer must look like, whether or not it arrives."""

    def __init__(self, prompts: dict[str, str]) -> None:
        self.prompts = prompts
        self.tasks_of_cursor: dict[int, frozenset[str]] = {}
        self.consumed: set[str] = set()
        self.superseded_at: dict[int, float] = {}

    def check(self, batch: Batch, pull: Pull, now: float) -> None:
        """Check an answer that a node gave."""
        task_ids = frozenset(sample.task_id for sample in batch.samples)
        assert len(task_ids) == len(batch.samples), "a task twice in one batch"
        known = self.tasks_of_cursor.setdefault(batch.cursor, task_ids)
        assert known == task_ids, "the entry's tasks have changed"
        for cursor, others in self.tasks_of_cursor.items():
            assert cursor == batch.cursor or not others & task_ids, "a task in two entries"
        for sample in batch.samples:
            self._check_sample(sample, pull.trainer_version, now)
        if batch.last:
            entered = frozenset().union(*self.tasks_of_cursor.values())
            assert entered == set(self.prompts), "the end came too early"

    def consume(self, batch: Batch) -> None:
        """Count an answer that the trainer has got."""
        task_ids = {sample.task_id for sample in batch.samples}
        assert not task_ids & self.consumed, "a task was consumed twice"
        self.consumed |= task_ids

    def _check_sample(self, sample, trainer_version: int, now: float) -> None:
        versions = [part.version for part in sample.versions for _ in range(part.count)]
        prompt = self.prompts[sample.task_id]
        expected = [token(version, prompt, place) for place, version in enumerate(versions)]
        assert sample.token_ids == expected and len(expected) == 4, "wrong versions"
        assert sample.score == 4.0, "not scored"
        assert trainer_version - min(versions) <= MAXIMUM_VERSIONS, "too many versions behind"
        # The first token was made before its version was superseded.
        made_by = self.superseded_at.get(versions[0], now)
        assert now - made_by <= MAXIMUM_SECONDS, "too many seconds old"


@dataclass
class Parked:
    """A call held up at a node that is paused; ``pull`` is None for a submission."""

    entry: str
    node_id: str
    release: Event
    greenlet: gevent.Greenlet
    pull: Pull | None


class RolloutMachine(RuleBasedStateMachine):
    """Rules for the trainer, the engines and the faults."""

    @initialize()
    def begin(self) -> None:
        self.cluster = FakeCluster(
            OPTIONS,
            NODES,
            self.gate,
            start=False,
            max_staleness_versions=MAXIMUM_VERSIONS,
            max_staleness_seconds=MAXIMUM_SECONDS,
        )
        self.step = submission(TASKS)
        self.oracle = Oracle({task.task_id: task.prompt for task in self.step.tasks})
        self.version = 1
        self.cursor = 0
        self.done = False
        self.parked: list[Parked] = []
        self.pause_at: tuple[str, str] | None = None
        self.fail_at: tuple[str, str] | None = None
        self.stopped_at: tuple[str, Event] | None = None

    def gate(self, node_id: str, moment: str) -> None:
        """Hold up or fail a call to the records."""
        if self.fail_at == (node_id, moment):
            self.fail_at = None
            raise RunkeelError(ErrorCode.RECORDS_UNAVAILABLE)
        if self.pause_at == (node_id, moment):
            self.pause_at = None
            release = Event()
            self.stopped_at = (node_id, release)
            release.wait()

    @rule(entry=nodes)
    def submit(self, entry: str) -> None:
        self.trainer_call(entry, self.current_submission())

    @rule(entry=nodes, most=st.integers(1, 3), lost=st.booleans())
    def pull(self, entry: str, most: int, lost: bool) -> None:
        pull = Pull(self.cursor, self.version, 0.0, most)
        self.pull_through(entry, pull, lost)

    @precondition(lambda self: len(self.parked) < MAXIMUM_PARKED)
    @rule(entry=nodes, node_id=nodes, moment=moments, most=st.integers(1, 3))
    def pull_into_pause(self, entry: str, node_id: str, moment: str, most: int) -> None:
        self.pause_at = (node_id, moment)
        self.pull_through(entry, Pull(self.cursor, self.version, 0.0, most), lost=False)
        self.pause_at = None

    @precondition(lambda self: self.parked)
    @rule(which=st.integers(0, MAXIMUM_PARKED - 1))
    def wake_paused(self, which: int) -> None:
        """The paused owner goes on; its answer comes too late for the trainer."""
        parked = self.parked.pop(which % len(self.parked))
        parked.release.set()
        self.settle()
        self.check_late(parked)

    @rule(node_id=nodes)
    def crash_and_restart(self, node_id: str) -> None:
        for parked in list(self.parked):
            if node_id in (parked.entry, parked.node_id):
                parked.greenlet.kill()
                self.parked.remove(parked)
        self.cluster.crash(node_id)
        self.cluster.boot(node_id, start=False)

    @rule(node_id=nodes, cut=st.booleans())
    def cut_off(self, node_id: str, cut: bool) -> None:
        (self.cluster.down.add if cut else self.cluster.down.discard)(node_id)

    @rule(node_id=nodes, seen=st.sets(nodes))
    def change_view(self, node_id: str, seen: set[str]) -> None:
        """Nodes may take different nodes for alive, and so for the step's owner."""
        self.cluster.nodes[node_id].live = set(seen)

    @rule(entry=nodes, most=st.integers(1, 3), lost=st.booleans(), both=st.booleans())
    def fail_over(self, entry: str, most: int, lost: bool, both: bool) -> None:
        """A node takes the step's owner for dead, and the trainer goes on with the next."""
        node = self.cluster.nodes[entry]
        owner = node.service._ranking.owner(self.step.key)
        node.live = (set(NODES) if both else node.live) - {owner}
        self.submit(entry)
        self.work()
        self.pull(entry, most, lost)

    @rule(node_id=nodes)
    def lose_copies(self, node_id: str) -> None:
        self.cluster.nodes[node_id].service.store.release_step(self.step.key)

    @rule(trainer=st.integers(1, 3), engine_lag=st.integers(0, 1))
    def new_version(self, trainer: int, engine_lag: int) -> None:
        self.version += trainer
        self.deploy(max(self.cluster.dispatcher.version, self.version - engine_lag))

    @rule(seconds=st.integers(1, 150))
    def advance(self, seconds: int) -> None:
        self.cluster.clock.now += seconds

    @rule()
    def expire_records(self) -> None:
        """Only the entries that the trainer holds or asks for are young enough to be kept."""
        values = self.cluster.records.values
        for key in list(values):
            if int(key.split("/")[3]) < self.cursor - 1:
                del values[key]

    @rule(node_id=nodes, moment=moments)
    def fail_records(self, node_id: str, moment: str) -> None:
        self.fail_at = (node_id, moment)

    @rule(
        task=st.integers(0, TASKS - 1),
        fault=st.sampled_from(["lost", "gap", "overlap", "truncated", "crossed"]),
    )
    def engine_fault(self, task: int, fault: str) -> None:
        self.cluster.dispatcher.faults[self.step.tasks[task].prompt] = fault

    @rule(task=st.integers(0, TASKS - 1))
    def hold_or_let_go(self, task: int) -> None:
        """A held generation goes on with the weights of the time at which it is let go."""
        prompt = self.step.tasks[task].prompt
        held = self.cluster.dispatcher.hold.pop(prompt, None)
        if held is None:
            self.cluster.dispatcher.hold[prompt] = Event()
        else:
            held.set()
        self.settle()

    @rule()
    def work(self) -> None:
        for node in self.cluster.nodes.values():
            node.service._owner.turn()
        self.settle()
        for node_id, node in self.cluster.nodes.items():
            if node_id not in self.cluster.down:
                node.service.checkpointer.run_once()

    def deploy(self, version: int) -> None:
        dispatcher = self.cluster.dispatcher
        if version != dispatcher.version:
            self.oracle.superseded_at[dispatcher.version] = self.cluster.clock.now
            dispatcher.version = version

    def current_submission(self):
        return replace(self.step, trainer_version=self.version)

    def settle(self) -> None:
        for _ in range(SETTLE_TURNS):
            gevent.sleep(0)

    def trainer_call(self, entry: str, step) -> None:
        if entry in self.cluster.down:
            return
        service = self.cluster.nodes[entry].service
        self.run_call(entry, lambda: service.submit(step), None)

    def pull_through(self, entry: str, pull: Pull, lost: bool) -> None:
        if entry in self.cluster.down:
            return
        service = self.cluster.nodes[entry].service
        outcome = self.run_call(entry, lambda: service.pull(self.step.key, pull), pull)
        if isinstance(outcome, RunkeelError) and outcome.code is ErrorCode.UNKNOWN_STEP:
            self.trainer_call(entry, self.current_submission())
        elif isinstance(outcome, Batch):
            self.oracle.check(outcome, pull, self.cluster.clock.now)
            if not lost:
                self.oracle.consume(outcome)
                self.done = outcome.last
                self.cursor += bool(outcome.samples)

    def run_call(self, entry: str, call, pull: Pull | None):
        """Return the call's result or error, or None if it was held up."""
        greenlet = gevent.spawn(_outcome, call)
        self.settle()
        if self.stopped_at is not None:
            node_id, release = self.stopped_at
            self.stopped_at = None
            self.parked.append(Parked(entry, node_id, release, greenlet, pull))
            return None
        assert greenlet.ready(), "a call without wait did not come back"
        if isinstance(greenlet.value, RunkeelError):
            assert greenlet.value.code not in NEVER_EXPECTED, greenlet.value
        return greenlet.value

    def check_late(self, parked: Parked) -> None:
        outcome = parked.greenlet.value if parked.greenlet.ready() else None
        if isinstance(outcome, Batch):
            self.oracle.check(outcome, parked.pull, self.cluster.clock.now)

    def teardown(self) -> None:
        """Without further faults, the trainer gets each task once."""
        if not hasattr(self, "cluster"):
            return
        try:
            self.heal()
            for _ in range(HEALING_ROUNDS):
                if self.done:
                    break
                self.work()
                self.pull("a1", 2, lost=False)
            assert self.oracle.consumed == set(self.oracle.prompts), "tasks are missing"
        finally:
            for parked in self.parked:
                parked.greenlet.kill()
            self.cluster.stop()

    def heal(self) -> None:
        self.cluster.down.clear()
        self.fail_at = None
        for node in self.cluster.nodes.values():
            node.live = set(NODES)
        while self.parked:
            self.wake_paused(0)
        for held in self.cluster.dispatcher.hold.values():
            held.set()
        self.cluster.dispatcher.hold.clear()
        self.deploy(max(self.version, self.cluster.dispatcher.version))


def _outcome(call):
    try:
        return call()
    except RunkeelError as error:
        return error
