"""Places of a scale run: zones, addresses, settings and machine list entries.

Every hollow node and engine has an IP address of its own in 127.0.0.0/8 and fixed ports below
the kernel's ephemeral range, so thousands of listeners never collide with outgoing connections.
"""

from __future__ import annotations

import random
import socket
from dataclasses import dataclass

from runkeel.api.machines import Address
from runkeel.settings import (
    ClusterSettings,
    ListenSettings,
    LogSettings,
    NodeSettings,
    OperatorSettings,
    PlatformSettings,
    RecordSettings,
    Settings,
)
from runkeel_lab.processes import LabError

ZONES = ("north-a", "north-b", "south-a", "south-b", "west-a", "west-b")
"""Three regions of two zones each."""
MODELS = tuple(f"model-{number}" for number in range(1, 8))
HTTP_PORT = 7_001
PEER_PORT = 7_002
GOSSIP_PORT = 7_003
ENGINE_PORT = 7_010
SEEDS_PER_ZONE = 1
NETWORKS = range(20, 250, 2)
"""Second numbers of the addresses in 127.0.0.0/8 that a fleet may use, with the next one."""
STORM_FRACTION = 0.05
_HOSTS_PER_NETWORK = 250


@dataclass(frozen=True, slots=True)
class PlatformAddresses:
    """Where the stand-ins of the platform listen."""

    object_api: str
    machine_list: str
    weight_store: str


@dataclass(frozen=True, slots=True)
class ScaleLayout:
    """A fleet of hollow nodes and engines.

    Attributes:
        nodes: number of nodes, spread evenly over the zones.
        engines: number of engines, spread evenly over the zones and models.
        record_groups: replica groups of the records.
        zones: how many of ZONES are used; with fewer, the zones are those of a larger fleet.
        network: second number of the nodes' addresses; the engines' is the next one.
    """

    nodes: int
    engines: int
    record_groups: int = 1
    zones: int = len(ZONES)
    network: int = NETWORKS[0]

    def node_ids(self) -> list[str]:
        """Return the ids of all nodes."""
        return [f"node-{index:04d}" for index in range(self.nodes)]

    def node_machine(self, index: int) -> dict[str, object]:
        """Return the machine list's entry of a node."""
        host = _host(self.network, index)
        addresses = {
            "http": f"{host}:{HTTP_PORT}",
            "peer": f"{host}:{PEER_PORT}",
            "gossip": f"{host}:{GOSSIP_PORT}",
        }
        return _entry(f"node-{index:04d}", "node", self.zone(index), "", addresses)

    def engine_machine(self, index: int) -> dict[str, object]:
        """Return the machine list's entry of an engine."""
        addresses = {"http": str(self.engine_address(index))}
        return _entry(
            self.engine_id(index), "engine", self.zone(index), self.pool(index), addresses
        )

    def engine_id(self, index: int) -> str:
        """Return the id of an engine."""
        return f"engine-{index:04d}"

    def engine_address(self, index: int) -> Address:
        """Return where an engine listens."""
        return Address(_host(self.network + 1, index), ENGINE_PORT)

    def pool(self, index: int) -> str:
        """Return the model that an engine serves."""
        return MODELS[(index // self.zones) % len(MODELS)]

    def zone(self, index: int) -> str:
        """Return the zone of a node or an engine."""
        return ZONES[index % self.zones]

    def node_settings(self, index: int, platform: PlatformAddresses) -> Settings:
        """Return the settings of a node."""
        host = _host(self.network, index)
        seeds = tuple(
            f"{_host(self.network, seed)}:{GOSSIP_PORT}"
            for seed in range(min(self.zones * SEEDS_PER_ZONE, self.nodes))
            if seed != index
        )
        return Settings(
            node=NodeSettings(id=f"node-{index:04d}", zone=self.zone(index)),
            listen=ListenSettings(
                http=f"{host}:{HTTP_PORT}",
                peer=f"{host}:{PEER_PORT}",
                gossip=f"{host}:{GOSSIP_PORT}",
            ),
            cluster=ClusterSettings(
                name="scale", key="scale run", seeds=seeds, zones=ZONES[: self.zones]
            ),
            platform=PlatformSettings(
                object_api=platform.object_api,
                machine_list=platform.machine_list,
                weight_store=platform.weight_store,
            ),
            logs=LogSettings(level="warning"),
            records=RecordSettings(groups=self.record_groups),
            operators=OperatorSettings(open=True),
        )


def storm_size(nodes: int) -> int:
    """Return how many nodes of a process a storm restarts: 5%, one at least."""
    return max(1, round(nodes * STORM_FRACTION))


def free_network() -> int:
    """Return a network that no other fleet on this machine uses, chosen at random.

    Raises:
        LabError: there is none.
    """
    for network in random.sample(NETWORKS, len(NETWORKS)):
        with socket.socket() as probe:
            try:
                probe.bind((_host(network, 0), HTTP_PORT))
            except OSError:
                continue
            return network
    raise LabError("all networks of scale runs are in use")


def _host(network: int, index: int) -> str:
    third, fourth = divmod(index, _HOSTS_PER_NETWORK)
    return f"127.{network}.{third}.{fourth + 1}"


def _entry(
    machine_id: str, kind: str, zone: str, pool: str, addresses: dict[str, str]
) -> dict[str, object]:
    return {"id": machine_id, "kind": kind, "zone": zone, "pool": pool, "addresses": addresses}
