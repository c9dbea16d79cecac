"""Stateful fuzzing of orders to one engine, and of permits, against simple oracles."""

import contextlib
import unittest
from unittest import mock

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from runkeel.api.configuration import EngineRoleSpec, ObjectKind
from runkeel.api.machines import EngineStatus
from runkeel.backends.engine_directory import EngineMonitor
from runkeel.errors import ErrorCode, RunkeelError
from runkeel.weights import reconciler
from runkeel.weights.fences import Fence
from runkeel.weights.permits import LEASE_SECONDS, PermitTable, SwapKey
from runkeel.weights.reconciler import EngineReconciler, ReconcilerContext
from tests.fuzzing import find_violation
from tests.weights.fakes import (
    MODEL,
    FakeConfiguration,
    FakeEngine,
    FakeMachines,
    FakeMembership,
    FakeOwnership,
    FakePauseDetector,
    FakeWeightStore,
)

NODES = ("node-a", "node-b")
STEPS = settings(derandomize=True, deadline=None, max_examples=250, stateful_step_count=40)


class SteppedEngine(FakeEngine):
    """An engine whose swaps go on only when ticked. Each deploy carries its own adapter name."""

    def __init__(self) -> None:
        super().__init__("engine-0", 1, "zone-1", FakeWeightStore())
        self.adapter = ""
        self.pending = None
        self.newest_deploy = 0

    def status(self) -> EngineStatus:
        adapters = (self.adapter,) if self.adapter else ()
        return EngineStatus(
            1, 0.0, 0, 0, 8, 0, 100, True, MODEL, self.version, self.role, self.fence,
            self.swap, self.order_id, adapters,
        )  # fmt: skip

    def take(self, order) -> None:
        if order.fence < self.fence:
            raise RunkeelError(ErrorCode.STALE_FENCE, order.order_id)
        self.fence = order.fence
        if order.kind == "role":
            self.role = order.role
            return
        deploy = int(order.adapter)
        assert deploy >= self.newest_deploy, f"deploy {deploy} after {self.newest_deploy}"
        self.newest_deploy = deploy
        if order.order_id != self.order_id:
            self.order_id, self.swap, self.pending = order.order_id, "loading", order

    def tick(self) -> None:
        if self.swap != "loading":
            return
        if self.failures_to_come > 0:
            self.failures_to_come -= 1
            self.swap = "failed"
            return
        self.swap = "idle"
        self.version, self.adapter = self.pending.version, self.pending.adapter

    def restart(self) -> None:
        self.fence = self.newest_deploy = 0
        self.swap, self.order_id = "idle", ""
        self.version, self.adapter = 0, ""


class OwnersClient:
    """One owner's connection, on which orders and answers may be lost or delayed."""

    exchanged_bytes = 0

    def __init__(self, machine: "OrderMachine") -> None:
        self._machine = machine

    def status(self) -> EngineStatus:
        return self._machine.engine.status()

    def order(self, order) -> None:
        machine = self._machine
        race, machine.race = machine.race, None
        if race is not None:
            machine.reconcile(race)
        fate, machine.fate = machine.fate, "taken"
        if fate in ("lost", "delayed"):
            if fate == "delayed":
                machine.delayed.append(order)
            raise RunkeelError(ErrorCode.BACKEND_LOST, "reset")
        machine.engine.take(order)
        if fate == "answer_lost":
            raise RunkeelError(ErrorCode.BACKEND_LOST, "reset")

    def close(self) -> None:
        pass


class TaskPausedError(Exception):
    """The task is paused at a sleep; reconciling starts anew later."""


class OrderMachine(RuleBasedStateMachine):
    """Two nodes, with configurations of different age, both may believe to own the engine."""

    @initialize()
    def begin(self):
        self.engine = SteppedEngine()
        self.race, self.fate, self.delayed = None, "taken", []
        self.ticks = 0
        self.deploys = 0
        self.truth = FakeConfiguration()
        self.configurations = {node: FakeConfiguration() for node in NODES}
        self.pauses, self.reconcilers = {}, {}
        for node in NODES:
            self.make_node(node)
        patcher = mock.patch.object(reconciler.gevent, "sleep", self.sleep)
        patcher.start()
        self.stop_patching = patcher.stop
        self.deploy(1)
        for node in NODES:
            self.configurations[node].copy_from(self.truth)

    def make_node(self, node):
        machines = FakeMachines([self.engine.machine])
        membership = FakeMembership(node, dict.fromkeys(NODES, "zone-1"), [])
        ownership = FakeOwnership(node, machines.all, {"engine-0": node})
        self.pauses[node] = FakePauseDetector()
        permits = mock.Mock()
        permits.holds.return_value = True
        context = ReconcilerContext(
            membership, self.configurations[node], machines, ownership,
            EngineMonitor(ownership), permits, self.pauses[node],
        )  # fmt: skip
        client = OwnersClient(self)
        self.reconcilers[node] = EngineReconciler(self.engine.machine, client, context)

    def sleep(self, _seconds):
        if self.ticks == 0:
            raise TaskPausedError
        self.ticks -= 1
        self.engine.tick()

    def reconcile(self, node):
        with contextlib.suppress(TaskPausedError):
            self.reconcilers[node]._reconcile_safely()

    @rule(version=st.integers(1, 4))
    def deploy(self, version):
        self.deploys += 1
        self.truth.deploy(version, adapter=str(self.deploys))

    @rule(role=st.sampled_from(["mixed", "serve", "rollout"]))
    def change_role(self, role):
        self.truth.put(ObjectKind.ENGINE_ROLE, "engine-0", EngineRoleSpec(role=role))

    @rule(
        node=st.sampled_from(NODES),
        learns=st.booleans(),
        settled=st.sampled_from([True, True, True, False]),
        race=st.booleans(),
        fate=st.sampled_from(["taken", "taken", "lost", "delayed", "answer_lost"]),
        ticks=st.integers(0, 3),
    )
    def step(self, node, learns, settled, race, fate, ticks):
        """Let a node that believes to own the engine reconcile, perhaps with the other between."""
        if learns:
            self.configurations[node].copy_from(self.truth)
        self.pauses[node].value = settled
        other = NODES[1 - NODES.index(node)]
        self.race, self.fate, self.ticks = (other if race else None), fate, ticks
        self.reconcile(node)

    @rule(node=st.sampled_from(NODES), ticks=st.integers(0, 3))
    def step_quietly(self, node, ticks):
        self.step(node, False, True, False, "taken", ticks)

    @rule(index=st.integers(0, 5))
    def late_order_arrives(self, index):
        if self.delayed:
            order = self.delayed.pop(index % len(self.delayed))
            try:
                self.engine.take(order)
            except RunkeelError as error:
                assert error.code is ErrorCode.STALE_FENCE

    @rule(failures=st.integers(0, 3))
    def swaps_will_fail(self, failures):
        self.engine.failures_to_come = failures

    @rule()
    def engine_ticks(self):
        self.engine.tick()

    @rule()
    def engine_restarts(self):
        # Orders of before the restart can no longer arrive on its closed connections.
        self.delayed.clear()
        self.engine.restart()

    @invariant()
    def engine_serves_a_whole_deploy(self):
        engine = self.engine
        assert engine.adapter == "" or int(engine.adapter) <= self.deploys

    def teardown(self):
        if not hasattr(self, "stop_patching"):
            return
        try:
            self.check_convergence()
        finally:
            self.stop_patching()

    def check_convergence(self):
        while self.delayed:
            self.late_order_arrives(0)
        self.engine.failures_to_come = 0
        for node in NODES:
            self.configurations[node].copy_from(self.truth)
            self.pauses[node].value = True
        for _ in range(8):
            self.race, self.fate, self.ticks = None, "taken", 5
            self.reconcile("node-b")
        spec = self.truth.model(MODEL)
        reported = (self.engine.version, self.engine.adapter, self.engine.role)
        role = self.truth.engine_role("engine-0").role
        wanted = (spec.target_version, spec.adapter, role)
        assert reported == wanted, f"{reported} instead of {wanted}"


class PermitMachine(RuleBasedStateMachine):
    """Owners that want, get, forget and release; limits that change."""

    owners = st.sampled_from(["a1", "a2", "b1"])

    @initialize()
    def begin(self):
        self.now = 0.0
        self.model_limit, self.store_limit = 2, 3
        self.table = PermitTable(
            lambda model: self.model_limit, lambda: self.store_limit, lambda: self.now
        )
        self.sequences = {}
        self.wants = {}

    @rule(owner=owners, wanted=st.sets(st.tuples(st.sampled_from("xy"), st.integers(0, 3))),
          keep=st.integers(0, 4))  # fmt: skip
    def declare(self, owner, wanted, keep):
        held = sorted(self.table.holds_of(owner), key=lambda key: key.backend_id)[:keep]
        keys = [SwapKey(model, f"{owner}-{model}{index}") for model, index in sorted(wanted)]
        self.sequences[owner] = self.sequences.get(owner, 0) + 1
        wants = [key for key in keys if key not in held]
        assert self.table.declare(owner, owner[0], 1, self.sequences[owner], wants, held)
        assert not self.table.declare(owner, owner[0], 1, self.sequences[owner], [], [])
        assert self.table.holds_of(owner) == set(held)

    @rule()
    def grant(self):
        before = set(self.table.holds())
        self.table.grant()
        after = set(self.table.holds())
        for model in "xy":
            new = [key for key in after - before if key.model == model]
            total = [key for key in after if key.model == model]
            assert not new or len(total) <= self.model_limit
        assert not after - before or len(after) <= self.store_limit

    @rule(seconds=st.sampled_from([1.0, LEASE_SECONDS]))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(model_limit=st.integers(1, 4), store_limit=st.integers(0, 5))
    def change_limits(self, model_limit, store_limit):
        self.model_limit, self.store_limit = model_limit, store_limit

    @rule(owner=owners)
    def release_all_others_and_get_one(self, owner):
        """A want is granted once nothing else is held: no limit is lost for good."""
        self.store_limit = max(1, self.store_limit)
        self.now += LEASE_SECONDS + 1
        self.declare(owner, {("x", 0)}, 0)
        self.table.grant()
        assert self.table.holds_of(owner) == {SwapKey("x", f"{owner}-x0")}


def fence_without_generations(seen, sent, _model_generation, _role_generation, owner):
    """The mutant of next_fence: the highest number seen, plus one."""
    return Fence(0, 0, max(seen.round, sent.round) + 1, owner)


class MutantTest(unittest.TestCase):
    def test_fences_without_generations(self):
        options = settings(STEPS, phases=[Phase.generate], report_multiple_bugs=False)
        with mock.patch.object(reconciler, "next_fence", fence_without_generations):
            self.assertIsNotNone(find_violation(OrderMachine, options))


class FairnessTest(unittest.TestCase):
    def test_zones_share_alike_whoever_asks_first(self):
        table = PermitTable(lambda model: 100, lambda: 6, lambda: 0.0)
        for owner, zone, count in (("a", "z1", 50), ("b", "z2", 3), ("c", "z3", 9)):
            wants = [SwapKey("m", f"{owner}{index}") for index in range(count)]
            table.declare(owner, zone, 1, 1, wants, [])
        table.grant()
        self.assertEqual([2, 2, 2], [len(table.holds_of(owner)) for owner in "abc"])


OrderMachineTest = OrderMachine.TestCase
OrderMachineTest.settings = STEPS
PermitMachineTest = PermitMachine.TestCase
PermitMachineTest.settings = STEPS

if __name__ == "__main__":
    unittest.main()
