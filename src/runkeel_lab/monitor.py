"""Samples processor time and memory of the node processes during a run."""

from __future__ import annotations

import re
import time
from dataclasses import dataclass

import gevent
import psutil

from runkeel_lab.http_client import TransportError
from runkeel_lab.launcher import EmulatedDeployment

_INTERVAL_SECONDS = 1.0
_MEGABYTE = 1024 * 1024
_CONTROL_BYTES = re.compile(
    r"^runkeel_gossip_sent_bytes_total(?:\{[^}]*\})? ([0-9.e+]+)$", re.MULTILINE
)


@dataclass(slots=True)
class NodeUsage:
    """What one node used; a node that was restarted counts its lives together.

    Attributes:
        control_bytes: bytes of heartbeats and what they carry that the node has counted as sent.
            A cost figure, never used for violations.
    """

    cpu_seconds: float = 0.0
    observed_seconds: float = 0.0
    peak_rss_bytes: int = 0
    control_bytes: float = 0.0
    counts_control_bytes: bool = False
    first_seen: float = 0.0

    def as_dict(self) -> dict[str, float | None]:
        """Return the node's figures for the report."""
        observed = self.observed_seconds
        return {
            "cpu_percent": round(100 * self.cpu_seconds / observed, 2) if observed else None,
            "rss_mb": round(self.peak_rss_bytes / _MEGABYTE, 1),
            "control_bytes_per_s": (
                round(self.control_bytes / observed, 1)
                if observed and self.counts_control_bytes
                else None
            ),
        }


@dataclass(slots=True)
class _Life:
    """One process of a node."""

    pid: int
    cpu_seconds: float
    control_bytes: float
    at: float


class ResourceMonitor:
    """Polls all node processes until it is stopped."""

    def __init__(self, deployment: EmulatedDeployment) -> None:
        self.usage = {node.id: NodeUsage() for node in deployment.plan.nodes}
        self._deployment = deployment
        self._lives: dict[str, _Life] = {}
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to poll."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.kill()
            self._task = None

    def _run(self) -> None:
        while True:
            for node_id, usage in self.usage.items():
                self._poll(node_id, usage)
            gevent.sleep(_INTERVAL_SECONDS)

    def _poll(self, node_id: str, usage: NodeUsage) -> None:
        child = self._deployment.processes[node_id]
        if not child.running:
            return
        try:
            process = psutil.Process(child.pid)
            times = process.cpu_times()
            memory = process.memory_info().rss
        except psutil.Error:
            return
        control_bytes = self._control_bytes(node_id)
        now = time.monotonic()
        cpu_seconds = times.user + times.system
        life = self._lives.get(node_id)
        usage.peak_rss_bytes = max(usage.peak_rss_bytes, memory)
        if life is not None and life.pid == child.pid:
            usage.cpu_seconds += cpu_seconds - life.cpu_seconds
            usage.observed_seconds += now - life.at
            if control_bytes is not None:
                usage.control_bytes += max(0.0, control_bytes - life.control_bytes)
                usage.counts_control_bytes = True
        previous = life.control_bytes if life is not None and life.pid == child.pid else 0.0
        known = control_bytes if control_bytes is not None else previous
        self._lives[node_id] = _Life(child.pid, cpu_seconds, known, now)

    def _control_bytes(self, node_id: str) -> float | None:
        try:
            answer = self._deployment.node_client(node_id).request(
                "GET", "/metrics", timeout_seconds=1.0
            )
        except TransportError:
            return None
        found = _CONTROL_BYTES.findall(answer.body.decode("utf-8", "replace"))
        return sum(map(float, found)) if found else None
