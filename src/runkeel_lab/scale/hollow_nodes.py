"""Program: hollow nodes that share one process.

Each is a whole :class:`runkeel.node.Node` with its own listeners; only the process is shared.
The configuration is a JSON file (see :class:`HollowNodesConfig`). The process prints JSON lines:
one when all nodes run, one for each configuration change taken by a node, and one a second with
its processor time, memory and control traffic.
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
from runkeel_lab.scale.layout import PlatformAddresses, ScaleLayout  # noqa: E402

REPORT_SECONDS = 1.0
CONTROL_BYTE_COUNTERS = (
    "runkeel_gossip_sent_bytes_total",
    "runkeel_gossip_received_bytes_total",
    "runkeel_peer_sent_bytes_total",
    "runkeel_peer_received_bytes_total",
    "runkeel_engine_poll_bytes_total",
)


class HollowNodesConfig(BaseModel):
    """What the process runs.

    Attributes:
        layout_nodes, layout_engines, record_groups: the whole fleet, see ScaleLayout.
        indexes: the nodes of this process.
        start_spacing_seconds: pause between two starts.
        restart_seconds: every so many seconds one node of this process ends without notice
            and starts again; 0 for never.
    """

    layout_nodes: int
    layout_engines: int
    record_groups: int = 1
    object_api: str
    machine_list: str
    weight_store: str
    indexes: list[int]
    start_spacing_seconds: float = 0.02
    restart_seconds: float = 0.0


def main() -> int:
    """Run the nodes until SIGTERM."""
    config = HollowNodesConfig.model_validate_json(Path(sys.argv[1]).read_text())
    layout = ScaleLayout(config.layout_nodes, config.layout_engines, config.record_groups)
    platform = PlatformAddresses(config.object_api, config.machine_list, config.weight_store)
    settings = [layout.node_settings(index, platform) for index in config.indexes]
    configure_logs(settings[0].logs, "hollow", "")
    stop = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    nodes: list[Node] = []
    for each in settings:
        nodes.append(_started(Node(each)))
        gevent.sleep(config.start_spacing_seconds)
    _print({"ready": True, "nodes": len(nodes)})
    restarts = gevent.spawn(_restart_in_turn, nodes, settings, config.restart_seconds)
    process = psutil.Process()
    while not stop.wait(timeout=REPORT_SECONDS):
        _print(_usage(process, len(nodes)))
    restarts.kill()
    return 0


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


def _restart_in_turn(nodes: list[Node], settings: list, restart_seconds: float) -> None:
    turn = 0
    while restart_seconds > 0:
        gevent.sleep(restart_seconds)
        index = turn % len(nodes)
        turn += 1
        nodes[index].stop()
        try:
            nodes[index] = _started(Node(settings[index]))
        except OSError as error:
            logger.warning("restart failed: {}", error, code="hollow_restart_failed")


def _usage(process: psutil.Process, node_count: int) -> dict[str, object]:
    times = process.cpu_times()
    counters = {name: REGISTRY.get_sample_value(name) or 0.0 for name in CONTROL_BYTE_COUNTERS}
    polls = "runkeel_engine_poll_bytes_total"
    counters[polls] = counters[polls] or _sum_of(polls)
    return {
        "usage": True,
        "t": time.monotonic(),
        "cpu_seconds": times.user + times.system,
        "rss_bytes": process.memory_info().rss,
        "bytes": counters,
        "nodes": node_count,
    }


def _sum_of(name: str) -> float:
    return sum(
        sample.value
        for family in REGISTRY.collect()
        for sample in family.samples
        if sample.name == name
    )


def _print(line: dict[str, object]) -> None:
    sys.stdout.write(json.dumps(line) + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main())
