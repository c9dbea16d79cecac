"""Starts the processes of one scale run and reads what they print."""

from __future__ import annotations

import json
import os
import signal
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from runkeel.api.machines import Address
from runkeel.settings import Settings
from runkeel_lab.http_client import HttpClient
from runkeel_lab.plan import to_toml
from runkeel_lab.processes import ChildProcess, free_ports
from runkeel_lab.scale.layout import MODELS, PlatformAddresses, ScaleLayout, storm_size

START_TIMEOUT_SECONDS = 240.0
_HOST = "127.0.0.1"
_WORKER_MODULE = "runkeel_lab.scale.hollow_nodes"


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """Shape of the processes.

    Attributes:
        nodes_per_process: hollow nodes that share a process.
        engines_per_process: hollow engines that share a process.
        restart_seconds: seconds between two unannounced restarts in each process of nodes.
        real_nodes: nodes at the layout's end that run as node programs, a process each.
        load_ms: how long an engine takes to load weights, in ms.
        concurrent_loads: loads that the weight store bears at once.
    """

    nodes_per_process: int = 20
    engines_per_process: int = 525
    restart_seconds: float = 0.0
    real_nodes: int = 1
    load_ms: int = 1_000
    concurrent_loads: int = 600


@dataclass(slots=True)
class Fleet:
    """The processes of one scale run; use as a context manager."""

    layout: ScaleLayout
    options: FleetOptions
    folder: Path
    platform: PlatformAddresses = field(init=False)
    node_processes: list[ChildProcess] = field(default_factory=list)
    real_processes: list[ChildProcess] = field(default_factory=list)
    _others: list[ChildProcess] = field(default_factory=list)
    _offsets: dict[str, int] = field(default_factory=dict)

    def __enter__(self) -> Fleet:
        self.folder.mkdir(parents=True, exist_ok=True)
        try:
            self._start_platform()
            self._start_engines()
            self._seed_configuration()
            self._start_nodes()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    @property
    def hollow_nodes(self) -> int:
        """Number of nodes that share processes."""
        return self.layout.nodes - self.options.real_nodes

    @property
    def storm_size(self) -> int:
        """Number of nodes that :meth:`restart_some` restarts."""
        size = self.options.nodes_per_process
        counts = [
            min(size, self.hollow_nodes - first) for first in range(0, self.hollow_nodes, size)
        ]
        return sum(storm_size(count) for count in counts)

    def close(self) -> None:
        """End every process."""
        for process in [*self.real_processes, *self.node_processes, *self._others]:
            process.kill()

    def restart_some(self) -> None:
        """Make each process of hollow nodes restart its share of 5%, all at the same time."""
        for process in self.node_processes:
            os.kill(process.pid, signal.SIGUSR1)

    def control(self, standin_id: str, method: str, target: str, content: Any = None) -> Any:
        """Call the control face of a stand-in of the platform."""
        address = Address.parse(self._others[0].ready["control"])
        return HttpClient(address).json(method, f"/standins/{standin_id}{target}", content)

    def node_client(self, index: int) -> HttpClient:
        """Return a client of a node's HTTP face."""
        settings = self.layout.node_settings(index, self.platform)
        return HttpClient(Address.parse(settings.listen.http))

    def new_lines(self, process: ChildProcess) -> list[dict[str, Any]]:
        """Return the JSON lines that a process has printed since the last call."""
        path = self.folder / f"{process.name}.out"
        offset = self._offsets.get(process.name, 0)
        with path.open("rb") as output:
            output.seek(offset)
            data = output.read()
        whole, separator, _ = data.rpartition(b"\n")
        self._offsets[process.name] = offset + len(whole) + len(separator)
        return [json.loads(line) for line in whole.splitlines() if line.startswith(b"{")]

    def _start_platform(self) -> None:
        ports = free_ports(3)
        urls = [f"{_HOST}:{port}" for port in ports]
        self.platform = PlatformAddresses(*(f"http://{url}" for url in urls))
        machines = [self.layout.node_machine(index) for index in range(self.layout.nodes)]
        machines += [self.layout.engine_machine(index) for index in range(self.layout.engines)]
        weight_store = {
            "concurrent_loads": self.options.concurrent_loads,
            "load_ms": self.options.load_ms,
            "version_bytes": 1_000_000,
            "models": {model: [1] for model in MODELS},
        }
        tables = [
            _table("object_api", "object-api", urls[0], {}),
            _table("machine_list", "machine-list", urls[1], {"machines": machines}),
            _table("weight_store", "weight-store", urls[2], weight_store),
        ]
        self._start_standins("platform", tables)

    def _start_engines(self) -> None:
        size = self.options.engines_per_process
        for first in range(0, self.layout.engines, size):
            indexes = range(first, min(first + size, self.layout.engines))
            tables = [self._engine_table(index) for index in indexes]
            self._start_standins(f"engines-{first // size}", tables)

    def _engine_table(self, index: int) -> str:
        options = {
            "weight_store": self.platform.weight_store.removeprefix("http://"),
            "weight_version": 1,
        }
        address = str(self.layout.engine_address(index))
        return _table(
            "engine",
            self.layout.engine_id(index),
            address,
            options,
            self.layout.zone(index),
            self.layout.pool(index),
        )

    def _start_standins(self, name: str, tables: list[str]) -> None:
        path = self.folder / f"{name}.toml"
        path.write_text("\n".join(tables))
        process = ChildProcess(name, ["-m", "runkeel_lab", "standins", str(path)], self.folder)
        self._others.append(process)
        process.start()
        process.wait_ready(START_TIMEOUT_SECONDS)

    def _seed_configuration(self) -> None:
        client = HttpClient(Address.parse(self.platform.object_api.removeprefix("http://")))
        for model in MODELS:
            spec = {"target_version": 1}
            content = {
                "generation": 1,
                "deleted": False,
                "command_ids": [f"seed-{model}"],
                "changed_by": "scale run",
                "spec": spec,
            }
            client.json("PUT", f"/v1/objects/model/{model}?expect=0", {"content": content})

    def _start_nodes(self) -> None:
        size = self.options.nodes_per_process
        for first in range(0, self.hollow_nodes, size):
            indexes = list(range(first, min(first + size, self.hollow_nodes)))
            self._start_hollow_process(first // size, indexes)
        for index in range(self.hollow_nodes, self.layout.nodes):
            self._start_real_process(index)
        for process in [*self.node_processes, *self.real_processes]:
            process.wait_ready(START_TIMEOUT_SECONDS)

    def _start_hollow_process(self, number: int, indexes: list[int]) -> None:
        config = {
            "layout_nodes": self.layout.nodes,
            "layout_engines": self.layout.engines,
            "record_groups": self.layout.record_groups,
            "zones": self.layout.zones,
            "network": self.layout.network,
            "object_api": self.platform.object_api,
            "machine_list": self.platform.machine_list,
            "weight_store": self.platform.weight_store,
            "indexes": indexes,
            "restart_seconds": self.options.restart_seconds,
        }
        name = f"nodes-{number}"
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(config))
        process = ChildProcess(name, ["-m", _WORKER_MODULE, str(path)], self.folder)
        self.node_processes.append(process)
        process.start()

    def _start_real_process(self, index: int) -> None:
        settings = self.layout.node_settings(index, self.platform)
        path = self.folder / f"{settings.node.id}.toml"
        path.write_text(_settings_toml(settings))
        arguments = ["-m", "runkeel", "node", "--settings", str(path)]
        process = ChildProcess(settings.node.id, arguments, self.folder)
        self.real_processes.append(process)
        process.start()


def _settings_toml(settings: Settings) -> str:
    sections = settings.model_dump(mode="json")
    return "\n".join(
        line
        for name, values in sections.items()
        for line in [f"[{name}]", *(f"{key} = {to_toml(value)}" for key, value in values.items())]
    )


def _table(
    kind: str,
    standin_id: str,
    listen: str,
    options: dict[str, Any],
    zone: str = "",
    pool: str = "",
) -> str:
    pairs = {"kind": kind, "id": standin_id, "zone": zone, "pool": pool, "listen": listen}
    lines = ["[[standin]]"]
    lines += [f"{key} = {to_toml(value)}" for key, value in pairs.items()]
    lines.append(f"options = {to_toml(options)}")
    return "\n".join(lines) + "\n"
