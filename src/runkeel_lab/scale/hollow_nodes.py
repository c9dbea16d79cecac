"""Program: hollow nodes that share one process.

Each is a whole :class:`runkeel.node.Node` with its own listeners; only the process is shared.
The configuration is a JSON file (see :class:`HollowNodesConfig`). The process prints JSON lines:
one when all nodes run, one for each configuration change taken by a node, one a second with its
processor time, memory and control traffic, and one for each node that has caught up after its
restart. On SIGUSR1 a twentieth of the nodes, one at least, end without notice and start again.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402
import gevent.event  # noqa: E402
import psutil  # noqa: E402
from loguru import logger  # noqa: E402
from prometheus_client import REGISTRY  # noqa: E402
from pydantic import BaseModel  # noqa: E402

from runkeel.api.configuration import ObjectKind  # noqa: E402
from runkeel.logs import configure_logs  # noqa: E402
from runkeel.node import Node  # noqa: E402
from runkeel.settings import Settings  # noqa: E402
from runkeel_lab.scale.counters import read_counters  # noqa: E402
from runkeel_lab.scale.layout import NETWORKS, ZONES, PlatformAddresses, ScaleLayout, storm_size  # noqa: E402

REPORT_SECONDS = 1.0
CATCH_UP_SECONDS = 15.0
"""How long a restarted node may lack what it had before its end."""
CATCH_UP_POLL_SECONDS = 0.05


class HollowNodesConfig(BaseModel):
    """What the process runs.

    Attributes:
        layout_nodes, layout_engines, record_groups, zones, network: the fleet, see ScaleLayout.
        indexes: the nodes of this process.
        start_spacing_seconds: pause between two starts.
        restart_seconds: every so many seconds one node of this process ends without notice
            and starts again; 0 for never.
    """

    layout_nodes: int
    layout_engines: int
    record_groups: int = 1
    zones: int = len(ZONES)
    network: int = NETWORKS[0]
    object_api: str
    machine_list: str
    weight_store: str
    indexes: list[int]
    start_spacing_seconds: float = 0.02
    restart_seconds: float = 0.0


def main() -> int:
    """Run the nodes until SIGTERM."""
    config = HollowNodesConfig.model_validate_json(Path(sys.argv[1]).read_text())
    layout = ScaleLayout(
        config.layout_nodes,
        config.layout_engines,
        config.record_groups,
        config.zones,
        config.network,
    )
    platform = PlatformAddresses(config.object_api, config.machine_list, config.weight_store)
    settings = [layout.node_settings(index, platform) for index in config.indexes]
    configure_logs(settings[0].logs, "hollow", "")
    stop = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    nodes = HollowNodes(settings)
    nodes.start(config.start_spacing_seconds)
    gevent.signal_handler(signal.SIGUSR1, nodes.restart_some)
    _print({"ready": True, "nodes": len(settings)})
    restarts = gevent.spawn(nodes.restart_in_turn, config.restart_seconds)
    process = psutil.Process()
    while not stop.wait(timeout=REPORT_SECONDS):
        _print(_usage(process, len(settings)))
    restarts.kill()
    return 0


class HollowNodes:
    """The nodes of this process, and their restarts."""

    def __init__(self, settings: list[Settings]) -> None:
        self._settings = settings
        self._nodes: list[Node] = []
        self._turn = 0

    def start(self, spacing_seconds: float) -> None:
        """Start all nodes, one after the other."""
        for each in self._settings:
            self._nodes.append(_started(Node(each)))
            gevent.sleep(spacing_seconds)

    def restart_in_turn(self, restart_seconds: float) -> None:
        """Restart one node every so many seconds, for ever."""
        while restart_seconds > 0:
            gevent.sleep(restart_seconds)
            self._restart_next()

    def restart_some(self) -> None:
        """Restart a twentieth of the nodes at the same time."""
        for _ in range(storm_size(len(self._nodes))):
            gevent.spawn(self._restart_next)

    def _restart_next(self) -> None:
        index = self._turn % len(self._nodes)
        self._turn += 1
        before = _generations(self._nodes[index])
        self._nodes[index].stop()
        started_at = time.monotonic()
        try:
            node = self._nodes[index] = _started(Node(self._settings[index]))
        except OSError as error:
            logger.warning("restart failed: {}", error, code="hollow_restart_failed")
            return
        while not _has(node, before) and time.monotonic() - started_at < CATCH_UP_SECONDS:
            gevent.sleep(CATCH_UP_POLL_SECONDS)
        seconds = time.monotonic() - started_at
        _print({"restarted": node.node_id, "caught_up": _has(node, before), "seconds": seconds})


def _generations(node: Node) -> dict[tuple[ObjectKind, str], int]:
    configuration = node.configuration
    return {
        (kind, name): configuration.generation(kind, name)
        for kind in ObjectKind
        for name in configuration.names(kind)
    }


def _has(node: Node, generations: dict[tuple[ObjectKind, str], int]) -> bool:
    return all(
        node.configuration.generation(kind, name) >= generation
        for (kind, name), generation in generations.items()
    )


def _started(node: Node) -> Node:
    def changed(kind: ObjectKind, name: str) -> None:
        if kind is not ObjectKind.RECORD_GROUP:
            generation = node.configuration.generation(kind, name)
            _print(
                {
                    "taken": f"{kind}/{name}",
                    "generation": generation,
                    "node": node.node_id,
                    "t": time.monotonic(),
                }
            )

    node.configuration.on_change(changed)
    node.start()
    return node


def _usage(process: psutil.Process, node_count: int) -> dict[str, object]:
    times = process.cpu_times()
    return {
        "usage": True,
        "t": time.monotonic(),
        "cpu_seconds": times.user + times.system,
        "rss_bytes": process.memory_info().rss,
        "counters": read_counters(REGISTRY.collect()),
        "nodes": node_count,
    }


def _print(line: dict[str, object]) -> None:
    sys.stdout.write(json.dumps(line) + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main())
