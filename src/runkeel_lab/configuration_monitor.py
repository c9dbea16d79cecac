"""Watches which configuration is in force on each node, by the operators' query language."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

import gevent

from runkeel_lab.http_client import TransportError
from runkeel_lab.launcher import EmulatedDeployment

_INTERVAL_SECONDS = 0.2
_QUERY = "show config"
_POLL_TIMEOUT_SECONDS = 1.0

ObjectName = tuple[str, str]
"""Kind and name of a configuration object."""


@dataclass(frozen=True, slots=True)
class ConfigurationView:
    """What one node held at one moment.

    Attributes:
        at: monotonic time, in s.
        life: how often the node's process had been started.
        fresh: whether the poll before this one failed, so that the node may just have come back.
    """

    at: float
    life: int
    fresh: bool
    generations: dict[ObjectName, int]


@dataclass(slots=True)
class ConfigurationMonitor:
    """Polls all nodes until it is stopped.

    Attributes:
        views: of each node, in order; one that equals its predecessor is kept only by its time.
    """

    deployment: EmulatedDeployment
    views: dict[str, list[ConfigurationView]] = field(default_factory=dict)
    _tasks: list[gevent.Greenlet] = field(default_factory=list)

    def start(self) -> None:
        """Begin to poll, a task for each node."""
        for node in self.deployment.plan.nodes:
            self.views[node.id] = []
            self._tasks.append(gevent.spawn(self._watch, node.id))

    def stop(self) -> None:
        """Stop polling."""
        gevent.killall(self._tasks)
        self._tasks.clear()

    def _watch(self, node_id: str) -> None:
        client = self.deployment.node_client(node_id)
        client.timeout_seconds = _POLL_TIMEOUT_SECONDS
        fresh = True
        while True:
            life = self.deployment.processes[node_id].started
            try:
                content = client.json("POST", "/v1/queries", {"query": _QUERY})
                view = ConfigurationView(time.monotonic(), life, fresh, _generations(content))
                self.views[node_id].append(view)
                fresh = False
            except (TransportError, KeyError, TypeError, ValueError):
                fresh = True
            gevent.sleep(_INTERVAL_SECONDS)


def _generations(content: dict) -> dict[ObjectName, int]:
    columns = content["columns"]
    kind, name, generation = (columns.index(key) for key in ("kind", "name", "generation"))
    return {(row[kind], row[name]): int(row[generation]) for row in content["rows"]}
