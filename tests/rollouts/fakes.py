"""Small stand-ins for the other parts of a node, joined to a cluster in one process."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field
from types import SimpleNamespace

import gevent

from runkeel.api.configuration import ModelSpec
from runkeel.api.machines import (
    Address,
    Machine,
    MachineKind,
    MachineState,
    Member,
    MemberStatus,
    PoolSummary,
)
from runkeel.errors import ErrorCode, RunkeelError, not_run
from runkeel.rollouts.options import RolloutOptions
from runkeel.rollouts.sample import StepKey
from runkeel.rollouts.service import RolloutService
from runkeel.rollouts.step import Submission, TaskSpec
from runkeel.wire.codec import decode, encode
from runkeel.wire.generated.requests.ttypes import TokenChunk

MODEL = "allocation"
NOWHERE = Address("127.0.0.1", 1)
FAST = RolloutOptions(
    batch_linger_seconds=0.0,
    retry_base_seconds=0.001,
    retry_limit_seconds=0.002,
    planner_interval_seconds=0.002,
    first_token_allowance_seconds=0.0,
    hedge_tasks=0,
    checkpoint_interval_seconds=0.002,
    checkpoint_minimum_tokens=1,
)


def token(version: int, prompt: str, position: int) -> int:
    """The token that the emulated engine would generate."""
    return zlib.crc32(f"{MODEL}|{version}|{prompt}|{position}".encode()) % 50_000


class FakeClock:
    """A clock that the test moves."""

    def __init__(self) -> None:
        self.now = 1_000.0

    def __call__(self) -> float:
        return self.now


class FakeConfiguration:
    """One model."""

    def __init__(self, **spec) -> None:
        self.spec = ModelSpec(**spec)

    def model(self, name: str) -> ModelSpec | None:
        return self.spec if name == MODEL else None

    def is_draining(self, target_id: str) -> bool:
        return False


class FakeMachines:
    """One scorer."""

    def machines(self, kind: MachineKind, pool=None) -> tuple[Machine, ...]:
        if kind is not MachineKind.SCORER:
            return ()
        return (Machine("scorer-1", kind, "a", "", NOWHERE, MachineState.LIVE, 1),)


class FakeScorer:
    """Scores by length; fails the first ``failures`` calls."""

    failures = 0

    def score(self, address, sample_id, prompt, token_ids, timeout_seconds) -> float:
        if self.failures > 0:
            self.failures -= 1
            raise RunkeelError(ErrorCode.SCORER_FAILED)
        return float(len(token_ids))


class FakeRecords:
    """Write-once records shared by all nodes; ``gate`` may hold up or fail a call."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}

    def view(self, node_id: str, gate=lambda node_id, when: None):
        def decide(key, value, timeout_seconds):
            gate(node_id, "before")
            decided = self.values.setdefault(key, value)
            gate(node_id, "after")
            return decided

        def read(key, timeout_seconds):
            gate(node_id, "read")
            return self.values.get(key)

        return SimpleNamespace(decide=decide, read=read)


class FakeDispatcher:
    """Generates at once with the version in force; a prompt may hold a fault once."""

    def __init__(self) -> None:
        self.version = 1
        self.requests = []
        self.open = 0
        self.hold: dict[str, gevent.event.Event] = {}
        self.faults: dict[str, str] = {}

    def generate(self, request):
        self.requests.append(request)
        self.open += 1
        try:
            yield from self._chunks(request)
        finally:
            self.open -= 1

    def _chunks(self, request):
        prompt, length = request.prompt, min(request.max_tokens, 4)
        fault = self.faults.pop(prompt, "")
        if fault == "lost":
            raise RunkeelError(ErrorCode.BACKEND_LOST)
        start = len(request.prior_token_ids)
        for position in range(start, length, 2):
            if position > start and prompt in self.hold:
                self.hold[prompt].wait()
            version = self.version
            shift = {"gap": 1, "overlap": -1}.get(fault, 0) if position else 0
            first = position + shift
            count = min(2, length - position)
            made_for = "another prompt" if fault == "crossed" else prompt
            ids = [token(version, made_for, first + offset) for offset in range(count)]
            if fault == "truncated" and position:
                return
            end = position + count == length
            request_id = "other" if fault == "crossed" else request.envelope.request_id
            yield TokenChunk(
                request_id, 1, first, ids, "", version, "length" if end else "", "engine-1"
            )


@dataclass
class FakeNode:
    """A node: its view of the others, its handlers and its service."""

    node_id: str
    zone: str
    cluster: FakeCluster
    handlers: dict = field(default_factory=dict)
    service: RolloutService | None = None
    live: set[str] = field(default_factory=set)

    def local(self) -> Member:
        return self._member(self)

    def live_members(self, zone=None) -> tuple[Member, ...]:
        nodes = [self.cluster.nodes[node_id] for node_id in sorted(self.live | {self.node_id})]
        return tuple(self._member(node) for node in nodes if zone in (None, node.zone))

    def pool_summaries(self, pool):
        version = self.cluster.dispatcher.version
        busy = self.cluster.pool_busy
        return (PoolSummary("a1", pool, 1, 1, 64, busy, 0, 0, version, version),)

    def on_call(self, message_type, request_class, handler) -> None:
        self.handlers[message_type] = (request_class, handler)

    def call(self, node_id, message_type, message, reply_class, timeout_seconds):
        self.cluster.check_link(self.node_id, node_id)
        request_class, handler = self.cluster.nodes[node_id].handlers[message_type]
        _, reply = handler(self.node_id, decode(request_class, encode(message)))
        self.cluster.check_link(node_id, self.node_id)
        return decode(reply_class, encode(reply))

    @staticmethod
    def _member(node: FakeNode) -> Member:
        return Member(node.node_id, node.zone, 1, MemberStatus.ALIVE, NOWHERE, NOWHERE, NOWHERE)


class FakeCluster:
    """Nodes of three zones with shared records, engine and clock."""

    def __init__(
        self, options=FAST, node_ids=("a1", "b1", "c1"), gate=None, start=True, **spec
    ) -> None:
        self.options = options
        self.records = FakeRecords()
        self.dispatcher = FakeDispatcher()
        self.scorer = FakeScorer()
        self.configuration = FakeConfiguration(**spec)
        self.clock = FakeClock()
        self.gate = gate or (lambda node_id, when: None)
        self.down: set[str] = set()
        self.pool_busy = 0
        self.nodes = {node_id: FakeNode(node_id, node_id[0], self) for node_id in node_ids}
        for node in self.nodes.values():
            node.live = set(node_ids)
            self.boot(node.node_id, start=start)

    def boot(self, node_id: str, data_folder=None, start=True) -> RolloutService:
        """Start a node's service, without memory of an earlier one."""
        node = self.nodes[node_id]
        node.handlers.clear()
        node.service = RolloutService(
            membership=node,
            peers=node,
            handlers=node,
            configuration=self.configuration,
            machines=FakeMachines(),
            records=self.records.view(node_id, self.gate),
            dispatcher=self.dispatcher,
            options=self.options,
            data_folder=data_folder,
            scorer_caller=self.scorer,
            clock=self.clock,
            wall_clock=self.clock,
        )
        if start:
            node.service.start()
        self.down.discard(node_id)
        return node.service

    def crash(self, node_id: str) -> None:
        """Stop a node; its memory is gone."""
        self.down.add(node_id)
        self.nodes[node_id].service.stop()

    def check_link(self, sender: str, receiver: str) -> None:
        if receiver in self.down:
            raise not_run(ErrorCode.PEER_UNREACHABLE, receiver)
        if sender in self.down:
            raise RunkeelError(ErrorCode.PEER_LOST, sender)

    def stop(self) -> None:
        for node in self.nodes.values():
            node.service.stop()

    def owner_of(self, step: StepKey) -> str:
        """The node that every healthy node takes for the step's owner."""
        return next(iter(self.nodes.values())).service._ranking.owner(step)


def submission(count: int = 4, step_id: str = "s1", version: int = 1, length=4) -> Submission:
    """A step of ``count`` tasks in groups of two."""
    tasks = tuple(
        TaskSpec(f"t{number}", f"g{number // 2}", f"prompt {number}", length)
        for number in range(count)
    )
    return Submission(StepKey(MODEL, step_id), tasks, version)
