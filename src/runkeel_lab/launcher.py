"""Starts an emulated deployment: stand-ins, seeded platform and runkeel nodes as processes."""

from __future__ import annotations

import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import gevent

from runkeel.api.configuration import SPEC_CLASSES
from runkeel.api.machines import Address
from runkeel_lab.deployment import ConfigurationObject, Deployment
from runkeel_lab.http_client import HttpClient, TransportError
from runkeel_lab.links import LinkRules
from runkeel_lab.load.caller import NodeTarget
from runkeel_lab.plan import (
    CLUSTER_KEY,
    DeploymentPlan,
    PlannedNode,
    PlannedStandIn,
    plan_deployment,
    to_toml,
)
from runkeel_lab.processes import ChildProcess, LabError

READY_TIMEOUT_SECONDS = 30.0
_POLL_SECONDS = 0.1
_SEEDS = 3


class EmulatedDeployment:
    """A running deployment. Use as a context manager: leaving it ends every process.

    Attributes:
        plan: ids, zones and addresses.
        processes: by the id of a node, of a back end, ``platform``, ``scorers`` or ``backends``.
    """

    def __init__(self, deployment: Deployment, folder: Path, seed: int = 1) -> None:
        self.deployment = deployment
        self.folder = folder
        (folder / "journals").mkdir(parents=True, exist_ok=True)
        self.plan: DeploymentPlan = plan_deployment(deployment, folder, seed)
        self.processes: dict[str, ChildProcess] = {}
        self.links_path = folder / "links.json"
        self._cuts: frozenset[tuple[str, str]] = frozenset()

    def __enter__(self) -> EmulatedDeployment:
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def start(self) -> None:
        """Start everything and wait until each node is ready. Raises LabError."""
        self.start_standins()
        self.seed_configuration()
        self._write_links()
        for node in self.plan.nodes:
            self._create_node(node).start()
        for node in self.plan.nodes:
            self.processes[node.id].wait_ready()
        self.wait_ready()

    def close(self) -> None:
        """End every process: nodes by a planned stop first, then at once."""
        for node in self.plan.nodes:
            if node.id in self.processes:
                self.processes[node.id].resume()
        for process in self.processes.values():
            process.kill()

    # Stand-ins

    def start_standins(self) -> None:
        """Start the stand-ins and wait until they serve."""
        plan = self.plan
        groups = {"platform": [plan.object_api, plan.machine_list, plan.weight_store]}
        if plan.scorers:
            groups["scorers"] = plan.scorers
        if self.deployment.hollow:
            groups["backends"] = plan.backends()
        else:
            groups |= {each.id: [each] for each in plan.backends()}
        for name, members in groups.items():
            self._create_standins(name, members).start()
        for name in groups:
            self.processes[name].wait_ready()

    def standin_process(self, standin_id: str) -> ChildProcess:
        """Return the process that a stand-in runs in. Raises LabError."""
        return self.processes[self._group_of(standin_id)]

    def has_own_process(self, standin_id: str) -> bool:
        """Return whether a stand-in shares its process with no other."""
        return self._group_of(standin_id) == standin_id

    def control(self, method: str, standin_id: str, target: str, content: Any = None) -> Any:
        """Call a stand-in's control face, which answers even while the stand-in is down."""
        address = Address.parse(self.standin_process(standin_id).ready["control"])
        return HttpClient(address).json(method, f"/standins/{standin_id}{target}", content)

    def set_fault(self, standin_id: str, kind: str, **options: Any) -> None:
        """Set a fault on a stand-in."""
        self.control("POST", standin_id, "/fault", {"kind": kind, **options})

    def _group_of(self, standin_id: str) -> str:
        planned = self.plan.standin(standin_id)
        if planned is None:
            raise LabError(f"no such stand-in: {standin_id}")
        if planned in self.plan.scorers:
            return "scorers"
        if planned in self.plan.backends():
            return "backends" if self.deployment.hollow else standin_id
        return "platform"

    def list_state(self, machine_id: str, state: str) -> None:
        """Show a machine in another state in the machine list."""
        planned = self.plan.standin(machine_id) or self.plan.node(machine_id)
        if planned is None:
            raise LabError(f"no such machine: {machine_id}")
        entry = {**planned.as_machine(), "state": state}
        self.control("PUT", "machine-list", f"/fault/machines/{machine_id}", entry)

    def publish_weights(self, model: str, version: int) -> None:
        """Publish a version in the weight store."""
        target = f"/fault/models/{model}/versions/{version}"
        self.control("POST", "weight-store", target, {})

    def seed_configuration(self) -> None:
        """Write the initial configuration objects to the object API."""
        client = HttpClient(self.plan.object_api.address)
        for entry in self.deployment.objects:
            content = _initial_content(entry)
            target = f"/v1/objects/{entry.kind}/{entry.name}?expect=0"
            client.json("PUT", target, {"content": content})

    def _create_standins(self, name: str, members: Sequence[PlannedStandIn]) -> ChildProcess:
        path = self.folder / f"{name}.standins.toml"
        path.write_text("\n".join(each.as_toml() for each in members))
        arguments = ["-m", "runkeel_lab", "standins", str(path)]
        self.processes[name] = ChildProcess(name, arguments, self.folder)
        return self.processes[name]

    # Nodes

    def node_client(self, node_id: str) -> HttpClient:
        """Return a client of a node's HTTP face. Raises LabError."""
        return HttpClient(self._node(node_id).http)

    def targets(self) -> list[NodeTarget]:
        """Return all nodes as callers see them, each with a client of its own."""
        return [NodeTarget(node.id, HttpClient(node.http)) for node in self.plan.nodes]

    def node_zones(self) -> dict[str, str]:
        """Return the zone of each node id."""
        return {node.id: node.zone for node in self.plan.nodes}

    def restart_node(self, node_id: str) -> None:
        """Start an ended node again and wait until it is ready."""
        process = self.processes[self._node(node_id).id]
        process.start()
        process.wait_ready()

    def wait_ready(self, timeout_seconds: float = READY_TIMEOUT_SECONDS) -> None:
        """Wait until every node that runs says that it is ready. Raises LabError."""
        deadline = time.monotonic() + timeout_seconds
        for node in self.plan.nodes:
            while self.processes[node.id].running and not _is_ready(node.http):
                if time.monotonic() > deadline:
                    raise LabError(f"{node.id}: /readyz did not say 200 in time")
                gevent.sleep(_POLL_SECONDS)

    def _node(self, node_id: str) -> PlannedNode:
        node = self.plan.node(node_id)
        if node is None:
            raise LabError(f"no such node: {node_id}")
        return node

    def _create_node(self, node: PlannedNode) -> ChildProcess:
        path = self.folder / f"{node.id}.toml"
        path.write_text(self._node_settings(node))
        arguments = ["-m", "runkeel_lab.linked_node", "--settings", str(path)]
        arguments += ["--links", str(self.links_path)]
        self.processes[node.id] = ChildProcess(node.id, arguments, self.folder)
        return self.processes[node.id]

    def _node_settings(self, node: PlannedNode) -> str:
        plan = self.plan
        seeds = [str(each.gossip) for each in plan.nodes[:_SEEDS] if each.id != node.id]
        sections: dict[str, dict[str, Any]] = {
            "node": {"id": node.id, "zone": node.zone, "data_folder": node.data_folder},
            "listen": {
                "http": str(node.http),
                "peer": str(node.peer),
                "gossip": str(node.gossip),
            },
            "cluster": {
                "name": self.deployment.name,
                "key": CLUSTER_KEY,
                "seeds": seeds,
                "zones": [zone.name for zone in self.deployment.zones if zone.nodes],
            },
            "platform": {
                "object_api": f"http://{plan.object_api.address}",
                "machine_list": f"http://{plan.machine_list.address}",
                "weight_store": f"http://{plan.weight_store.address}",
            },
            "logs": {"level": "info", "format": "json"},
            "operators": {"open": True},
        }
        for section, values in self.deployment.node_settings.items():
            sections.setdefault(section, {}).update(values)
        return "\n".join(
            f"[{section}]\n" + "\n".join(f"{key} = {to_toml(value)}" for key, value in keys.items())
            for section, keys in sections.items()
        )

    # Links

    def cut(self, zone: str, other_zone: str) -> None:
        """Cut two zones off from each other."""
        self._cuts |= {(zone, other_zone), (other_zone, zone)}
        self._write_links()

    def heal(self, zone: str, other_zone: str) -> None:
        """End a cut."""
        self._cuts -= {(zone, other_zone), (other_zone, zone)}
        self._write_links()

    def _write_links(self) -> None:
        names = [zone.name for zone in self.deployment.zones]
        delays = {
            (zone, other): self.deployment.delay_ms(zone, other)
            for zone in names
            for other in names
            if zone != other
        }
        LinkRules(delays, self._cuts).write(self.links_path)


def _initial_content(entry: ConfigurationObject) -> dict[str, Any]:
    spec = SPEC_CLASSES[entry.kind].model_validate(entry.spec).model_dump(mode="json")
    return {
        "generation": 1,
        "deleted": False,
        "command_ids": [],
        "changed_by": "deployment",
        "spec": spec,
    }


def _is_ready(address: Address) -> bool:
    try:
        return HttpClient(address, 1.0).request("GET", "/readyz").status == 200
    except TransportError:
        return False
