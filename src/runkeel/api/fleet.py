"""Routing configuration and back ends, as the gateway and the job coordinator see them."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field, replace

from runkeel.api.machines import Address
from runkeel.tenants.directory import TenantDirectory


class RouteKind(enum.StrEnum):
    """How often a request of a route may run, and what its answer is."""

    REPEATABLE = "repeatable"
    """May run more than once."""
    NOT_REPEATABLE = "not_repeatable"
    """Runs at most once for each client attempt."""
    STREAM = "stream"
    """Answered by a series of events."""
    BATCH = "batch"
    """Accepts batch jobs, whose items run as streams."""


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that takes part of a route's requests, in proportion to its weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host below one path prefix.

    Attributes:
        maximum_attempts: servers to which one client attempt may be sent.
        timeout_seconds: longest time that a request is held.
        target_latency_seconds: time within which an answer earns its full worth.
        rank: 0 is the most urgent.
        resumable: a stream may be continued by another server.
        result_deadline_seconds: batch routes: when all results are due, after submission.
        maximum_queue_seconds: batch routes: when an item may be given up, after submission.
        single_version: batch routes: a result must be made by one weight version.
        public: its requests need no key.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    maximum_attempts: int = 1
    timeout_seconds: float = 30.0
    target_latency_seconds: float = 1.0
    rank: int = 5
    resumable: bool = False
    result_deadline_seconds: float = 0.0
    maximum_queue_seconds: float = 0.0
    single_version: bool = False
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request of this route may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is not RouteKind.NOT_REPEATABLE

    def allows(self, service: str) -> bool:
        """Return whether this route sends requests to a service."""
        return any(share.service == service and share.weight > 0 for share in self.shares)


@dataclass(frozen=True, slots=True)
class ServiceDescription:
    """A service; ``models`` is empty for applications."""

    name: str
    maximum_connections: int = 0
    models: tuple[str, ...] = ()
    slots: int = 0


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Bounds on what clients may send."""

    maximum_header_bytes: int = 16_384
    maximum_body_bytes: int = 32 * 1024 * 1024
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """All routes, services and tenants at one version; replaced as a whole.

    Attributes:
        tenants: whose keys are known; None: requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceDescription] = field(default_factory=dict)
    limits: ClientLimits = ClientLimits()
    tenants: TenantDirectory | None = None


@dataclass(frozen=True, slots=True)
class Backend:
    """One start of a server.

    Attributes:
        backend_id: the server's id on the platform; it may start again under it, knowing nothing
            of before.
        draining: it takes no new work.
        model_versions: weight version of each model that it serves, as last reported.
        start: tells this start from others under the id; empty: no other is known of.
        orders_taken: orders that it has taken since it started; None: it doesn't say.
        unreadable: why its entry can't be read any more, so that it takes no new work; empty: it
            can.
    """

    backend_id: str
    service: str
    address: Address
    zone: str
    slots: int = 1
    draining: bool = False
    model_versions: dict[str, int] = field(default_factory=dict)
    start: str = ""
    orders_taken: int | None = None
    unreadable: str = ""

    @property
    def incarnation(self) -> str:
        """Names this start of the server, on all nodes alike; never reused."""
        return f"{self.backend_id}@{self.start}" if self.start else self.backend_id

    @property
    def takes_work(self) -> bool:
        """Whether new work may be sent to it."""
        return not self.draining and not self.unreadable

    def same_to_clients(self, other: Backend) -> bool:
        """Return whether two states of a server are the same to a node that gives no orders."""
        return _without_engine_state(self) == _without_engine_state(other)


def _without_engine_state(backend: Backend) -> Backend:
    return replace(backend, model_versions={}, orders_taken=None)
