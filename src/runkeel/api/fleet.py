"""Routing configuration and backends, as used by the gateway and the job coordinator."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field, replace

from runkeel.api.machines import Address
from runkeel.tenants.directory import TenantDirectory


class RouteKind(enum.StrEnum):
    """Whether a route's requests may run more than once, and the form of their responses."""

    REPEATABLE = "repeatable"
    """May run more than once."""
    NOT_REPEATABLE = "not_repeatable"
    """Runs at most once for each client attempt."""
    STREAM = "stream"
    """The response is a stream of events."""
    BATCH = "batch"
    """Accepts batch jobs, whose items run as streams."""


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that receives a share of a route's requests, proportional to its weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests to one host under one path prefix.

    Attributes:
        max_attempts: maximum number of attempts of a client's request that servers ran or may have
            run; for items of batch jobs and their scorer calls, of failed attempts.
        timeout_seconds: longest time for which a request is kept open.
        target_latency_seconds: latency that a response should not exceed.
        rank: priority of its requests, 0 is the most urgent; a tenant's own rank overrides it.
        resumable: another server may continue a stream.
        result_deadline_seconds: batch routes: time from submission until all results are due.
        max_queue_seconds: batch routes: time from submission until an item may be abandoned.
        single_version: batch routes: one weight version must generate the whole result.
        public: requests need no API key.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    max_attempts: int = 1
    timeout_seconds: float = 30.0
    target_latency_seconds: float = 1.0
    rank: int = 5
    resumable: bool = False
    result_deadline_seconds: float = 0.0
    max_queue_seconds: float = 0.0
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
    """A service.

    Attributes:
        max_connections: read from the settings, not enforced by this package.
        models: models that its servers serve; empty for a service that serves no model.
        slots: slots of each server; read from the settings, not used by this package. The number
            that a server reports counts, see :attr:`Backend.slots`.
    """

    name: str
    max_connections: int = 0
    models: tuple[str, ...] = ()
    slots: int = 0


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the requests of clients.

    Attributes:
        max_header_bytes: read from the settings, not enforced by this package.
        header_timeout_seconds: read from the settings, not enforced by this package.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 32 * 1024 * 1024
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """All routes, services and tenants at one version; replaced atomically.

    Attributes:
        tenants: tenants and their API keys; None: requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceDescription] = field(default_factory=dict)
    limits: ClientLimits = ClientLimits()
    tenants: TenantDirectory | None = None


@dataclass(frozen=True, slots=True)
class Backend:
    """One incarnation of a server.

    An engine is a server that loads weight versions of models and runs the items of batch jobs.

    Attributes:
        backend_id: the server's id on the platform; a restarted server keeps the id but no state.
        draining: it gets no new work.
        model_versions: weight version of each model that it serves, as last reported.
        start: identifies the incarnation among those with the same id; empty: the server does not
            report it and no restart has been observed.
        orders_accepted: number of orders to load a weight version that it has accepted since it
            started; None: not reported.
        unreadable: why its entry can no longer be parsed, in which case it gets no new work;
            empty: the entry is valid.
    """

    backend_id: str
    service: str
    address: Address
    zone: str
    slots: int = 1
    draining: bool = False
    model_versions: dict[str, int] = field(default_factory=dict)
    start: str = ""
    orders_accepted: int | None = None
    unreadable: str = ""

    @property
    def incarnation(self) -> str:
        """Id of this incarnation.

        The same on all nodes and never reused if the server reports its start.
        """
        return f"{self.backend_id}@{self.start}" if self.start else self.backend_id

    @property
    def accepts_work(self) -> bool:
        """Whether new work may be sent to it."""
        return not self.draining and not self.unreadable

    def equals_except_engine_state(self, other: Backend) -> bool:
        """Return whether two states differ at most in model versions and accepted orders."""
        return _without_engine_state(self) == _without_engine_state(other)


def _without_engine_state(backend: Backend) -> Backend:
    return replace(backend, model_versions={}, orders_accepted=None)
