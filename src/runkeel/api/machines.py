"""Machines in the platform's machine list, and members of the cluster."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class MachineKind(enum.StrEnum):
    """What runs on a machine."""

    NODE = "node"
    ENGINE = "engine"
    APPLICATION = "application"
    SCORER = "scorer"


class MachineState(enum.StrEnum):
    """State in the machine list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``ip:port``.

        Raises:
            ValueError: the text is malformed or the port is out of range.
        """
        host, separator, port_text = text.rpartition(":")
        if not separator or not host or not port_text.isdigit():
            raise ValueError(f"not an address of the form ip:port: {text!r}")
        port = int(port_text)
        if port > 65_535:
            raise ValueError(f"port out of range: {text!r}")
        return cls(host, port)

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Machine:
    """An entry of the machine list.

    Attributes:
        pool: the service or model that a backend serves; empty for nodes and scorers.
        version: version of the list at which this entry last changed.
    """

    machine_id: str
    kind: MachineKind
    zone: str
    pool: str
    http: Address | None
    state: MachineState
    version: int


class MemberStatus(enum.IntEnum):
    """State of another node in this node's view."""

    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


@dataclass(frozen=True, slots=True)
class Member:
    """A node of the cluster.

    Attributes:
        incarnation: increases when the node starts or learns that it is suspected.
    """

    node_id: str
    zone: str
    incarnation: int
    status: MemberStatus
    http: Address
    peer: Address
    gossip: Address


@dataclass(frozen=True, slots=True)
class PoolSummary:
    """Load of the backends of one pool that one node owns.

    Attributes:
        sequence: increases with each summary of the node.
        slots: number of requests that its backends can run concurrently.
        in_flight: number of requests in flight at its backends.
        queued: number of requests queued at the node.
        projected_wait_ms: expected wait of a new request of the lowest caller class.
        min_version: lowest weight version among its backends; 0 for applications.
        max_version: highest weight version among its backends; 0 for applications.
    """

    node_id: str
    pool: str
    sequence: int
    backends: int
    slots: int
    in_flight: int
    queued: int
    projected_wait_ms: int
    min_version: int = 0
    max_version: int = 0


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """Self-reported status of a model engine.

    Attributes:
        age_seconds: age of the report, in seconds.
        swap: ``idle``, ``loading`` or ``failed``.
        fence: highest fencing token that the engine has accepted.
    """

    sequence: int
    age_seconds: float
    running: int
    waiting: int
    max_running: int
    kv_used_blocks: int
    kv_total_blocks: int
    ready: bool
    model: str
    weight_version: int
    role: str
    fence: int
    swap: str
    swap_order_id: str
    adapters: tuple[str, ...] = field(default=())
