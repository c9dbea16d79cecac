"""Record services on real sockets, one a zone."""

from runkeel.api.machines import Member, MemberStatus
from runkeel.state.records import RecordOptions, RecordService
from tests.records.simulation import GROUP, FakeNodeStore, FakeStore
from tests.wire.cluster import CutPolicy, NetworkTestCase

OPTIONS = RecordOptions(
    expected_zones=("zone-a", "zone-b", "zone-c"),
    step_interval_seconds=0.02,
    call_timeout_seconds=0.5,
)
PATIENCE_SECONDS = 10.0


class ClusterMembership:
    def __init__(self, node_id, cluster):
        self.node_id = node_id
        self._cluster = cluster

    def live_members(self, zone=None):
        return tuple(self._cluster.member(name) for name in sorted(self._cluster.services))

    def member(self, node_id):
        return self._cluster.member(node_id)

    def is_live(self, node_id):
        return node_id in self._cluster.services


class RecordClusterTestCase(NetworkTestCase):
    """Nodes a, b and c."""

    def setUp(self):
        super().setUp()
        self.store = FakeStore()
        self.services = {}
        self.policies = {}
        self.node_networks = {}
        for name in "abc":
            self.policies[name] = CutPolicy()
            self.start(name)
        self.wait_until(lambda: self.voting() == {"a", "b", "c"}, PATIENCE_SECONDS)

    def tearDown(self):
        for name in list(self.services):
            self.kill(name)
        super().tearDown()

    def member(self, name):
        address, zone = self.book[name]
        return Member(name, zone, 1, MemberStatus.ALIVE, address, address, address)

    def start(self, name):
        network = self.network(name, f"zone-{name}", policy=self.policies[name])
        self.node_networks[name] = network
        self.store.nodes[name] = FakeNodeStore(self.store, dict(self.store.views))
        self.services[name] = service = RecordService(
            name, network, network, ClusterMembership(name, self), self.store.nodes[name], OPTIONS
        )
        service.start()

    def kill(self, name):
        self.services.pop(name).stop()
        self.node_networks[name].stop()
        del self.store.nodes[name]

    def voting(self):
        return {
            name
            for name, service in self.services.items()
            if service.replica_phase(GROUP) == "voting"
        }
