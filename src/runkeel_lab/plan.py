"""Places of a deployment's processes on this machine: ids, zones, ports and files."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from runkeel.api.machines import Address
from runkeel_lab.deployment import Deployment
from runkeel_lab.processes import free_ports

CLUSTER_KEY = "emulated-deployment"
HOST = "127.0.0.1"


@dataclass(frozen=True, slots=True)
class PlannedStandIn:
    """A stand-in: ``kind`` and ``options`` as the stand-in process takes them."""

    kind: str
    id: str
    zone: str
    pool: str
    address: Address
    options: dict[str, Any]

    def as_machine(self) -> dict[str, Any]:
        """Return the machine list's entry."""
        return {
            "id": self.id,
            "kind": self.kind,
            "zone": self.zone,
            "pool": self.pool,
            "addresses": {"http": str(self.address)},
        }

    def as_toml(self) -> str:
        """Return the stand-in's table of a stand-in file."""
        lines = [
            "[[standin]]",
            f"kind = {json.dumps(self.kind)}",
            f"id = {json.dumps(self.id)}",
            f"zone = {json.dumps(self.zone)}",
            f"pool = {json.dumps(self.pool)}",
            f"listen = {json.dumps(str(self.address))}",
            f"options = {to_toml(self.options)}",
        ]
        return "\n".join(lines) + "\n"


@dataclass(frozen=True, slots=True)
class PlannedNode:
    """A runkeel node."""

    id: str
    zone: str
    http: Address
    peer: Address
    gossip: Address
    data_folder: str = ""

    def as_machine(self) -> dict[str, Any]:
        """Return the machine list's entry."""
        addresses = {"http": str(self.http), "peer": str(self.peer), "gossip": str(self.gossip)}
        return {
            "id": self.id,
            "kind": "node",
            "zone": self.zone,
            "pool": "",
            "addresses": addresses,
        }


@dataclass(slots=True)
class DeploymentPlan:
    """Where everything of a deployment runs."""

    object_api: PlannedStandIn
    machine_list: PlannedStandIn
    weight_store: PlannedStandIn
    scorers: list[PlannedStandIn] = field(default_factory=list)
    engines: list[PlannedStandIn] = field(default_factory=list)
    applications: list[PlannedStandIn] = field(default_factory=list)
    nodes: list[PlannedNode] = field(default_factory=list)

    def standin(self, standin_id: str) -> PlannedStandIn | None:
        """Return a stand-in by id, or None."""
        everything = [self.object_api, self.machine_list, self.weight_store]
        for each in [*everything, *self.scorers, *self.engines, *self.applications]:
            if each.id == standin_id:
                return each
        return None

    def node(self, node_id: str) -> PlannedNode | None:
        """Return a node by id, or None."""
        return next((node for node in self.nodes if node.id == node_id), None)

    def backends(self) -> list[PlannedStandIn]:
        """Return engines and applications."""
        return [*self.engines, *self.applications]


def plan_deployment(deployment: Deployment, folder: Path, seed: int) -> DeploymentPlan:
    """Choose ids, zones and free ports."""
    return _Planner(deployment, folder, seed).plan()


class _Planner:
    def __init__(self, deployment: Deployment, folder: Path, seed: int) -> None:
        self._deployment = deployment
        self._folder = folder
        self._seed = seed
        self._ports = iter(free_ports(self._port_count()))

    def _port_count(self) -> int:
        deployment = self._deployment
        backends = sum(pool.engines for pool in deployment.models)
        backends += sum(pool.servers for pool in deployment.services)
        return 3 + deployment.platform.scorers + backends + 3 * len(deployment.node_ids())

    def plan(self) -> DeploymentPlan:
        deployment = self._deployment
        platform = deployment.platform
        home = deployment.zones[0].name
        versions = {pool.name: list(pool.versions) for pool in deployment.models}
        weight_store = self._standin(
            "weight_store",
            "weight-store",
            home,
            "",
            {"version_bytes": 1_000_000, **platform.weight_store, "models": versions},
        )
        scorers = [
            self._standin("scorer", f"scorer-{n + 1}", deployment.zone_of(n), "", platform.scorer)
            for n in range(platform.scorers)
        ]
        engines = self._engines(weight_store)
        applications = [
            self._standin(
                "application",
                f"{pool.name}-{n + 1}",
                deployment.zone_of(n),
                pool.name,
                pool.options,
            )
            for pool in deployment.services
            for n in range(pool.servers)
        ]
        nodes = self._nodes()
        machines = [each.as_machine() for each in [*scorers, *engines, *applications, *nodes]]
        listed = {**platform.machine_list, "machines": machines}
        return DeploymentPlan(
            self._standin("object_api", "object-api", home, "", platform.object_api),
            self._standin("machine_list", "machine-list", home, "", listed),
            weight_store,
            scorers,
            engines,
            applications,
            nodes,
        )

    def _engines(self, weight_store: PlannedStandIn) -> list[PlannedStandIn]:
        engines = []
        for pool in self._deployment.models:
            for number in range(pool.engines):
                options = {
                    "weight_store": str(weight_store.address),
                    "weight_version": pool.versions[0],
                    **pool.options,
                }
                engine_id = f"{pool.name}-{number + 1}"
                zone = self._deployment.zone_of(number)
                engines.append(self._standin("engine", engine_id, zone, pool.name, options))
        return engines

    def _nodes(self) -> list[PlannedNode]:
        nodes = []
        for number, (node_id, zone) in enumerate(self._deployment.node_ids().items()):
            folder = ""
            if number < self._deployment.data_nodes:
                folder = str(self._folder / f"{node_id}-data")
            addresses = [Address(HOST, next(self._ports)) for _ in range(3)]
            nodes.append(PlannedNode(node_id, zone, *addresses, folder))
        return nodes

    def _standin(
        self, kind: str, standin_id: str, zone: str, pool: str, options: dict[str, Any]
    ) -> PlannedStandIn:
        full = {
            "journal": str(self._folder / "journals" / f"{standin_id}.jsonl"),
            "seed": self._seed,
            **options,
        }
        return PlannedStandIn(kind, standin_id, zone, pool, Address(HOST, next(self._ports)), full)


def to_toml(value: Any) -> str:
    """Return a value as TOML; tables are written inline."""
    if isinstance(value, dict):
        pairs = ", ".join(
            f"{json.dumps(str(key))} = {to_toml(item)}" for key, item in value.items()
        )
        return "{" + pairs + "}"
    if isinstance(value, list | tuple):
        return "[" + ", ".join(to_toml(item) for item in value) + "]"
    return json.dumps(value)
