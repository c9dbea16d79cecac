"""What a scale run has measured, and the slopes worked out from it."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from dataclasses import dataclass, field

import numpy

from runkeel_lab.scale.counters import BYTE_COUNTERS, DATAGRAM_HEADER_BYTES, Traffic


@dataclass(frozen=True, slots=True)
class NodeCost:
    """What control costs one node.

    Attributes:
        cpu_percent: of one core.
        rss_mb: resident memory; of hollow nodes their process's, divided by its nodes.
        bytes_per_s: sent and received, by counter, IP and UDP headers of gossip included.
        total_bytes_per_s: their sum.
    """

    cpu_percent: float
    rss_mb: float
    bytes_per_s: dict[str, float]
    total_bytes_per_s: float


@dataclass(frozen=True, slots=True)
class Usage:
    """Processor time, memory and counters of a process at a moment."""

    at: float
    cpu_seconds: float
    rss_bytes: int
    counters: dict[str, float]


def cost_between(first: Usage, last: Usage, nodes: int) -> NodeCost:
    """Return the mean cost of one of a process's nodes between two moments."""
    elapsed = last.at - first.at
    rates = {
        name: (last.counters[name] - value) / elapsed / nodes
        for name, value in first.counters.items()
    }
    headers = DATAGRAM_HEADER_BYTES * rates[Traffic.DATAGRAMS_SENT]
    moved = {str(name): rates[name] for name in BYTE_COUNTERS}
    moved[Traffic.GOSSIP_SENT] += headers
    # In a fleet that loses nothing as many datagrams are received as sent.
    moved[Traffic.GOSSIP_RECEIVED] += headers
    return NodeCost(
        cpu_percent=100 * (last.cpu_seconds - first.cpu_seconds) / elapsed / nodes,
        rss_mb=last.rss_bytes / nodes / 1e6,
        bytes_per_s=moved,
        total_bytes_per_s=sum(moved.values()),
    )


def mean_cost(costs: Sequence[NodeCost]) -> NodeCost:
    """Return the mean of several processes' costs."""
    names = costs[0].bytes_per_s
    return NodeCost(
        cpu_percent=round(statistics.fmean(cost.cpu_percent for cost in costs), 3),
        rss_mb=round(statistics.fmean(cost.rss_mb for cost in costs), 1),
        bytes_per_s={
            name: round(statistics.fmean(cost.bytes_per_s[name] for cost in costs), 1)
            for name in names
        },
        total_bytes_per_s=round(statistics.fmean(cost.total_bytes_per_s for cost in costs), 1),
    )


@dataclass(slots=True)
class Restarts:
    """Unannounced ends of nodes that started again.

    Attributes:
        count: how many there were.
        not_caught_up: nodes that lacked configuration which they had had before.
        slowest_s: the longest time until a node had all of it again.
    """

    count: int = 0
    not_caught_up: int = 0
    slowest_s: float = 0.0


@dataclass(slots=True)
class StoreOutage:
    """The object API down and back.

    Attributes:
        seconds: how long it was down.
        max_readers: most concurrent watches that it then bore.
        lists: full listings that were asked of it since before the outage.
        change_after_s: seconds from its return until a change was accepted.
    """

    seconds: float
    max_readers: int = 0
    lists: int = 0
    change_after_s: float | None = None


@dataclass(slots=True)
class ScaleResult:
    """What one fleet cost and did.

    Attributes:
        hollow: mean cost of a hollow node.
        real: mean cost of a node with a process of its own.
        suspicions, refutations, connections_lost: of the hollow nodes during the measurement;
            all 0 when nodes had time enough to answer each other.
        changes: accepted configuration changes.
        refused_changes: changes refused or unanswered.
        in_force_s: seconds from a change's acceptance to the last hollow node, for each change
            accepted after the fleet had settled.
        not_in_force: changes that some hollow node never took.
        real_lacking: objects that a real node had not in the last accepted generation at the end.
        engines_on_new_version_s: seconds from a deploy's first command until as many loads as
            there are engines have finished.
    """

    nodes: int
    engines: int
    zones: int
    seconds: float
    hollow: NodeCost | None = None
    real: NodeCost | None = None
    suspicions: int = 0
    refutations: int = 0
    connections_lost: int = 0
    changes: int = 0
    refused_changes: int = 0
    in_force_s: list[float] = field(default_factory=list)
    not_in_force: int = 0
    real_lacking: int = 0
    engines_on_new_version_s: float | None = None
    restarts: Restarts = field(default_factory=Restarts)
    storm: Restarts | None = None
    outage: StoreOutage | None = None


@dataclass(frozen=True, slots=True)
class Slope:
    """A quantity of one node as a linear function of the fleet, by least squares.

    Attributes:
        per_node: added by each node of the fleet, the servers of a node staying as they are.
        per_server: added by each server that the node owns; None when all steps had the same
            number of servers a node.
        residual: largest difference between a step and the line.
    """

    quantity: str
    intercept: float
    per_node: float
    per_server: float | None
    residual: float

    def at(self, nodes: int, servers_per_node: float) -> float:
        """Return the value at another size."""
        return self.intercept + self.per_node * nodes + (self.per_server or 0.0) * servers_per_node


def fit_slopes(results: Sequence[ScaleResult]) -> list[Slope]:
    """Fit CPU, memory and each kind of traffic of the hollow nodes; needs two sizes or more."""
    measured = [result for result in results if result.hollow is not None]
    if len({result.nodes for result in measured}) < 2:
        return []
    quantities = {
        "cpu_percent": [result.hollow.cpu_percent for result in measured],
        "rss_mb": [result.hollow.rss_mb for result in measured],
        "total_bytes_per_s": [result.hollow.total_bytes_per_s for result in measured],
    }
    for name in measured[0].hollow.bytes_per_s:
        quantities[name] = [result.hollow.bytes_per_s[name] for result in measured]
    nodes = [result.nodes for result in measured]
    servers = [result.engines / result.nodes for result in measured]
    return [_fit(quantity, nodes, servers, values) for quantity, values in quantities.items()]


def _fit(quantity: str, nodes: list[int], servers: list[float], values: list[float]) -> Slope:
    columns = [numpy.ones(len(nodes)), numpy.array(nodes)]
    # Rounding to whole engines makes the ratios differ a little at one nominal ratio.
    if max(servers) - min(servers) > 0.5 and len(nodes) > 2:
        columns.append(numpy.array(servers))
    matrix = numpy.column_stack(columns)
    solution = numpy.linalg.lstsq(matrix, numpy.array(values), rcond=None)[0]
    residual = float(numpy.max(numpy.abs(matrix @ solution - values)))
    per_server = float(solution[2]) if len(columns) > 2 else None
    return Slope(quantity, float(solution[0]), float(solution[1]), per_server, residual)
