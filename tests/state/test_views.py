import random
import unittest
from unittest import mock

from runkeel.api.configuration import MemberLimitSpec, ObjectKind
from runkeel.api.machines import MachineKind, MachineState
from runkeel.platform.machine_list import machine_to_json
from runkeel.state.configuration import ConfigurationView
from runkeel.state.machine_view import ReplicatedMachineView
from runkeel.state.ownership import RendezvousOwnership
from runkeel.state.replicated_state import RecordSource, ReplicatedState
from runkeel.state.versioned_record import MACHINE_KIND, VersionedRecord, canonical_json
from tests.state.fakes import FakeCluster, machine_entry


def put(state, kind, name, generation, spec, deleted=False):
    record = VersionedRecord(kind, name, generation, canonical_json(spec), deleted)
    state.apply([record], RecordSource.PUSH)


def put_machine(replicated, machine_id, version=1, deleted=False, **fields):
    entry = machine_entry(machine_id, version=version, **fields)
    put(replicated, MACHINE_KIND, machine_id, version, machine_to_json(entry), deleted)


class ConfigurationViewTest(unittest.TestCase):
    def setUp(self):
        self.state = ReplicatedState()
        self.view = ConfigurationView(self.state)

    def test_unparsable_record_keeps_the_last_good_spec(self):
        put(self.state, "service", "tariff", 1, {"default_deadline_ms": 70})
        put(self.state, "service", "tariff", 2, {"default_deadline_ms": "soon"})
        self.assertEqual(self.view.service("tariff").default_deadline_ms, 70)
        self.assertEqual(self.view.generation(ObjectKind.SERVICE, "tariff"), 2)
        put(self.state, "service", "tariff", 3, {"default_deadline_ms": 80})
        self.assertEqual(self.view.service("tariff").default_deadline_ms, 80)

    def test_deleted_objects_are_gone_and_listeners_hear_of_it(self):
        heard = []
        self.view.on_change(lambda kind, name: heard.append((kind, name)))
        put(self.state, "drain", "e1", 1, {})
        self.assertTrue(self.view.is_draining("e1"))
        put(self.state, "drain", "e1", 2, {}, deleted=True)
        self.assertFalse(self.view.is_draining("e1"))
        self.assertEqual(self.view.names(ObjectKind.DRAIN), ())
        self.assertEqual(heard, [(ObjectKind.DRAIN, "e1")] * 2)

    def test_listener_that_raises_keeps_nobody_from_the_change(self):
        heard = []
        self.view.on_change(lambda _kind, _name: 1 / 0)
        self.view.on_change(lambda _kind, name: heard.append(name))
        put(self.state, "service", "tariff", 1, {})
        self.assertEqual(heard, ["tariff"])

    def test_member_limits_fall_back_to_default_and_built_in(self):
        self.assertEqual(self.view.member_limit("x"), MemberLimitSpec())
        put(self.state, "member_limit", "default", 1, {"burst": 5})
        self.assertEqual(self.view.member_limit("x").burst, 5)

    def test_kind_of_a_newer_release_is_held_but_not_shown(self):
        put(self.state, "quota", "x", 1, {})
        self.assertIsNotNone(self.state.get("quota", "x"))


class MachineViewTest(unittest.TestCase):
    def test_leaving_vanished_and_never_seen(self):
        state = ReplicatedState()
        view = ReplicatedMachineView(state)
        put_machine(state, "e1")
        put_machine(state, "e2", state=MachineState.LEAVING)
        put_machine(state, "e3")
        put_machine(state, "e3", version=2, deleted=True)
        leaving = [view.is_leaving(name) for name in ("e1", "e2", "e3", "e4")]
        self.assertEqual(leaving, [False, True, True, False])
        listed = view.machines(MachineKind.ENGINE, "allocation")
        self.assertEqual([machine.machine_id for machine in listed], ["e1", "e2"])
        self.assertEqual(view.machines(MachineKind.APPLICATION), ())


class OwnershipTest(unittest.TestCase):
    def setUp(self):
        self.cluster = FakeCluster()
        self.addCleanup(self.cluster.close)
        for zone in "ab":
            for index in range(6):
                self.cluster.add(f"{zone}{index}", zone)
        self.state = self.cluster.nodes["a0"].state
        for index in range(120):
            put_machine(self.state, f"e{index}", zone="ab"[index % 2])
        self.ownership = self.new_ownership("a0")

    def new_ownership(self, node_id):
        return RendezvousOwnership(
            self.cluster.nodes[node_id].membership,
            ReplicatedMachineView(self.state),
            ConfigurationView(self.state),
        )

    def owners(self, ownership=None):
        ownership = ownership or self.ownership
        return {f"e{index}": ownership.owner_of(f"e{index}") for index in range(120)}

    def test_owner_is_a_node_of_the_zone_and_all_nodes_agree(self):
        owners = self.owners()
        for backend_id, owner in owners.items():
            self.assertEqual(owner[0], "ab"[int(backend_id[1:]) % 2])
        self.assertEqual(owners, self.owners(self.new_ownership("b3")))
        owned = [self.new_ownership(node_id).owned() for node_id in self.cluster.nodes]
        self.assertEqual(sum(map(len, owned)), 120)

    def test_only_the_share_of_a_dead_node_moves_and_comes_back(self):
        before = self.owners()
        self.cluster.remove("a3")
        self.cluster.membership_changed()
        moved = {name for name, owner in self.owners().items() if owner != before[name]}
        self.assertEqual(moved, {name for name, owner in before.items() if owner == "a3"})
        self.cluster.add("a3", "a")
        self.cluster.membership_changed()
        self.assertEqual(self.owners(), before)

    def test_incremental_owners_equal_fresh_ones(self):
        source = random.Random(7)
        for _ in range(30):
            node_id = f"{source.choice('ab')}{source.randrange(1, 6)}"
            if node_id in self.cluster.nodes:
                self.cluster.remove(node_id)
            else:
                self.cluster.add(node_id, node_id[0])
            self.cluster.membership_changed()
            self.assertEqual(self.owners(), self.owners(self.new_ownership("a0")))

    def test_change_of_members_that_are_no_candidates_costs_nothing(self):
        machines = ReplicatedMachineView(self.state)
        membership = self.cluster.nodes["a0"].membership
        RendezvousOwnership(membership, machines, ConfigurationView(self.state))
        put(self.state, "drain", "a1", 1, {})
        with mock.patch.object(machines, "machines", wraps=machines.machines) as listed:
            self.cluster.membership_changed()
            self.cluster.remove("a1")
            self.cluster.membership_changed()
            listed.assert_not_called()
            self.cluster.remove("a2")
            self.cluster.membership_changed()
            listed.assert_called()

    def test_draining_and_leaving_nodes_own_nothing(self):
        put(self.state, "drain", "a1", 1, {})
        put_machine(self.state, "a2", kind=MachineKind.NODE, pool="", state=MachineState.LEAVING)
        self.assertFalse({"a1", "a2"} & set(self.owners().values()))

    def test_zone_without_nodes_is_adopted_by_the_others(self):
        changes = []
        self.ownership.on_change(lambda: changes.append(len(self.ownership.owned())))
        for index in range(6):
            self.cluster.remove(f"b{index}")
        self.cluster.membership_changed()
        self.assertTrue(all(owner[0] == "a" for owner in self.owners().values()))
        self.assertTrue(any(machine.zone == "b" for machine in self.ownership.owned()))
        self.assertTrue(changes)

    def test_unknown_back_end_and_no_candidate(self):
        self.assertIsNone(self.ownership.owner_of("nobody"))
        for node_id in self.cluster.nodes:
            put(self.state, "drain", node_id, 1, {})
        self.assertIsNone(self.ownership.owner_of("e1"))
        self.assertEqual(self.ownership.owned(), ())
