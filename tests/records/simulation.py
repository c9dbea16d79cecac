"""A simulated network, store and membership, on which real record services run step by step.

Every call waits until the simulation delivers it, answers it or loses it, so a run is determined
by the sequence of steps alone.
"""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass, field, replace

import gevent
from gevent.event import AsyncResult

from runkeel.api.machines import Address, Member, MemberStatus
from runkeel.errors import ErrorCode, RunkeelError, may_have_run, not_run
from runkeel.state.records import GroupView, RecordOptions, RecordService
from runkeel.wire.codec import decode, encode
from runkeel.wire.generated.common.ttypes import MessageType

GROUP = "records-0"
FOREVER = 1e6
NOWHERE = Address("127.0.0.1", 1)
QUIET_TURNS = 6

OPTIONS = RecordOptions(
    call_timeout_seconds=FOREVER,
    backoff_seconds=0.0,
    max_backoff_seconds=0.0,
    fast_wait_seconds=FOREVER,
    step_interval_seconds=FOREVER,
    formation_wait_seconds=FOREVER,
    loss_rounds=3,
    recovery_page_bytes=100,
)


@dataclass(eq=False)
class PendingCall:
    """A message on its way: the request first, then its reply."""

    source: str
    target: str
    message_type: int
    request: object
    reply_class: type
    result: AsyncResult
    reply: object = None
    answered: bool = False


@dataclass(eq=False)
class FakeStore:
    """The object API, and what each node last heard of it; a lagging node hears nothing new."""

    views: dict[str, GroupView] = field(default_factory=dict)
    nodes: dict[str, FakeNodeStore] = field(default_factory=dict)
    lagging: set[str] = field(default_factory=set)
    up: bool = True

    def change(self, name, expected_generation, spec):
        if not self.up:
            raise not_run(ErrorCode.STORE_UNAVAILABLE)
        view = self.views.get(name)
        if (view.generation if view else 0) != expected_generation:
            raise not_run(ErrorCode.CONFLICT)
        self.views[name] = GroupView(expected_generation + 1, spec)
        self.spread()

    def spread(self):
        for node_id, node in list(self.nodes.items()):
            if node_id not in self.lagging and node.views != self.views:
                node.views = dict(self.views)
                node.notify()


@dataclass(eq=False)
class FakeNodeStore:
    """The group objects as one node sees them."""

    store: FakeStore
    views: dict[str, GroupView]
    callbacks: list = field(default_factory=list)

    def group(self, name):
        return self.views.get(name)

    def change(self, name, expected_generation, spec, timeout_seconds):
        self.store.change(name, expected_generation, spec)

    def on_change(self, callback):
        self.callbacks.append(callback)

    def notify(self):
        for callback in self.callbacks:
            callback(GROUP)


class FakeMembership:
    def __init__(self, node_id, simulation):
        self.node_id = node_id
        self._simulation = simulation

    def live_members(self, zone=None):
        return tuple(
            self.member(node_id) for node_id in self._simulation.zones if self.is_live(node_id)
        )

    def member(self, node_id):
        zone = self._simulation.zones[node_id]
        return Member(node_id, zone, 1, MemberStatus.ALIVE, *[NOWHERE] * 3)

    def is_live(self, node_id):
        simulation = self._simulation
        return node_id in simulation.services and node_id not in simulation.suspected


class FakeHandlers:
    def __init__(self):
        self.by_type = {}

    def on_call(self, message_type, request_class, handler):
        self.by_type[message_type] = (request_class, handler)


class FakePeers:
    def __init__(self, node_id, simulation):
        self._node_id = node_id
        self._simulation = simulation

    def call(self, node_id, message_type, message, reply_class, timeout_seconds):
        call = PendingCall(
            self._node_id, node_id, message_type, encode(message), reply_class, AsyncResult()
        )
        self._simulation.pending.append(call)
        self._simulation.activity += 1
        return call.result.get()


class Simulation:
    """Nodes a, b, c... with one record group; :attr:`violations` lists what the oracle refutes."""

    def __init__(self, nodes=3, options=OPTIONS, seed=1, spares=0, dead_at_start=""):
        names = "abcdefghij"[: nodes + spares]
        self.zones = {name: f"zone-{index % nodes}" for index, name in enumerate(names)}
        self.options = replace(
            options,
            expected_zones=tuple(
                {zone for name, zone in self.zones.items() if name not in dead_at_start}
            ),
        )
        self.rng = random.Random(seed)
        self.now = 1_000_000.0
        self.pending: list[PendingCall] = []
        self.activity = 0
        self.store = FakeStore()
        self.services: dict[str, RecordService] = {}
        self.handlers: dict[str, FakeHandlers] = {}
        self.paused: set[str] = set()
        self.cut: set[str] = set()
        self.suspected: set[str] = set()
        """Nodes that membership takes for dead, rightly or not."""
        self.operations: dict[str, list[gevent.Greenlet]] = {name: [] for name in names}
        self.decided: dict[str, bytes] = {}
        self.proposed: dict[str, set[bytes]] = {}
        self.violations: list[str] = []
        self._numbers = itertools.count()
        self._starts = itertools.count()
        for name in names:
            if name not in dead_at_start:
                self.start(name)
        self.settle()

    # Nodes

    def start(self, name):
        """Start an empty process for a node."""
        self.handlers[name] = FakeHandlers()
        heard = {} if name in self.store.lagging else self.store.views
        self.store.nodes[name] = FakeNodeStore(self.store, dict(heard))
        # Clocks that run backwards: every process starts earlier than the one before.
        started_at = self.now - 100 * next(self._starts)
        service = RecordService(
            name,
            FakePeers(name, self),
            self.handlers[name],
            FakeMembership(name, self),
            self.store.nodes[name],
            self.options,
            clock=lambda: self.now,
            wall_clock=lambda: started_at,
            rng=random.Random(self.rng.getrandbits(32)),
        )
        self.services[name] = service
        service.start()
        self.quiesce()

    def kill(self, name):
        """End a node's process; its calls and operations end with it."""
        if name not in self.services:
            return
        gevent.killall(self.operations[name])
        self.operations[name].clear()
        self.services.pop(name).stop()
        del self.store.nodes[name]
        self.paused.discard(name)
        self.quiesce()

    def restart(self, name):
        self.kill(name)
        self.start(name)

    def wake(self, name):
        """Let a node look after its group once."""
        if name in self.services:
            self.store.nodes[name].notify()
            self.quiesce()

    def stop(self):
        for name in list(self.services):
            self.kill(name)

    def replica(self, name):
        return self.services[name]._replicas[GROUP]

    def voting(self):
        return [name for name in self.services if self.replica(name).phase == "voting"]

    # Network

    def deliver(self, index, duplicate=False):
        """Move one message on; a duplicated request is left in the network as well."""
        if not self.pending:
            return
        call = self.pending[index % len(self.pending)]
        receiver = call.source if call.answered else call.target
        if receiver in self.paused:
            return
        self.pending.remove(call)
        if {call.source, call.target} & self.cut or receiver not in self.services:
            self._lose(call)
        elif call.answered:
            call.result.set(call.reply)
        else:
            if duplicate:
                self.pending.append(self._copy(call))
            self._answer(call)
        self.quiesce()

    def lose(self, index):
        """Lose one message."""
        if self.pending:
            call = self.pending.pop(index % len(self.pending))
            self._lose(call)
            self.quiesce()

    def _lose(self, call):
        if call.result is not None:
            call.result.set_exception(may_have_run(ErrorCode.PEER_LOST))

    def _copy(self, call):
        return PendingCall(
            call.source,
            call.target,
            call.message_type,
            call.request,
            call.reply_class,
            AsyncResult(),
        )

    def _answer(self, call):
        request_class, handler = self.handlers[call.target].by_type[call.message_type]
        _, reply = handler(call.source, decode(request_class, call.request))
        call.reply = decode(call.reply_class, encode(reply))
        call.answered = True
        self.pending.append(call)

    def exchange(self, source, target):
        """Deliver the oldest request from one node to another, and its reply."""
        for call in self.pending:
            if (call.source, call.target) == (source, target):
                if not call.answered:
                    self.deliver(self.pending.index(call))
                if call in self.pending:
                    self.deliver(self.pending.index(call))
                return

    def quiesce(self):
        """Run every task until all of them wait for the simulation."""
        quiet = 0
        while quiet < QUIET_TURNS:
            before = self.activity
            gevent.sleep(0)
            quiet = quiet + 1 if self.activity == before else 0

    def settle(self, rounds=12, per_round=200):
        """Deliver everything in random order and let every node look after its group."""
        self.store.spread()
        for _ in range(rounds):
            for name in list(self.services):
                self.wake(name)
            for _ in range(per_round):
                if not self.pending:
                    break
                self.deliver(self.rng.randrange(len(self.pending)))

    def recover(self, name, rounds=6):
        """Deliver only a node's own recovery; every other message is held back."""
        for _ in range(rounds):
            self.wake(name)
            while own := [
                call
                for call in self.pending
                if call.source == name and call.message_type == MessageType.RECORD_RECOVER
            ]:
                receiver = own[0].source if own[0].answered else own[0].target
                move = self.lose if receiver in self.paused else self.deliver
                move(self.pending.index(own[0]))

    # Operations, checked against the oracle

    def decide(self, name, key):
        """Begin a decide with a fresh value."""
        if name not in self.services:
            return None
        value = f"{name}{next(self._numbers)}".encode()
        self.proposed.setdefault(key, set()).add(value)
        return self._spawn(name, self._decide, self.services[name], key, value)

    def hand_over(self, name):
        """Let a node give up its seat to one outside the group, whatever the others do."""
        if name not in self.services:
            return None
        return self._spawn(name, self.services[name]._managers[GROUP].hand_over)

    def read(self, name, key):
        """Begin a read."""
        if name not in self.services:
            return None
        return self._spawn(name, self._read, self.services[name], key, self.decided.get(key))

    def _spawn(self, name, function, *arguments):
        task = gevent.spawn(function, *arguments)
        self.operations[name] = [one for one in self.operations[name] if not one.ready()]
        self.operations[name].append(task)
        self.quiesce()
        return task

    def _decide(self, service, key, value):
        try:
            result = service.decide(key, value, FOREVER)
        except RunkeelError as error:
            return error
        self._check(key, result)
        return result

    def _read(self, service, key, decided_before):
        try:
            result = service.read(key, FOREVER)
        except RunkeelError as error:
            return error
        if result is not None:
            self._check(key, result)
        elif decided_before is not None:
            self.violations.append(f"read of {key} missed {decided_before}")
        return result

    def _check(self, key, result):
        expected = self.decided.setdefault(key, result)
        if result != expected:
            self.violations.append(f"{key} was decided as {expected} and as {result}")
        if result not in self.proposed.get(key, ()):
            self.violations.append(f"{key} was decided as {result}, which nobody proposed")
