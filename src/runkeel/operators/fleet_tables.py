"""Tables of a fleet node: its state, servers, routes, quarantine and coordinated work."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from runkeel.clock import steady_seconds
from runkeel.operators.sources import QuerySources, Row

if TYPE_CHECKING:
    from runkeel.fleet_node import FleetNode

NODE_COLUMNS = (
    "node",
    "zone",
    "configuration",
    "coordinator",
    "epoch",
    "coordinating",
    "follows_feed",
    "store_reachable",
)
BACKEND_COLUMNS = (
    "backend",
    "service",
    "zone",
    "address",
    "draining",
    "in_flight",
    "failures",
    "avoided",
    "ended",
    "start",
    "unreadable",
    "reason",
    "model",
    "version",
)
ROUTE_COLUMNS = ("route", "host", "prefix", "kind", "services", "rank", "attempts", "timeout_ms")
JOB_COLUMNS = (
    "job",
    "model",
    "step",
    "minimum_version",
    "items",
    "listed",
    "unlisted",
    "ended",
    "submitted_ms_ago",
)
VERSION_COLUMNS = ("model", "version")
TENANT_COLUMNS = ("tenant", "rank", "keys")
USAGE_COLUMNS = ("window", "state", "requests", "tenants", "ended_ms_ago")
QUARANTINE_COLUMNS = (
    "request",
    "service",
    "state",
    "ended",
    "servers",
    "trials",
    "clearances",
    "changed_ms_ago",
)
LIMIT_COLUMNS = ("service", "limit", "under_way", "waiting")
KEPT_JOB_COLUMNS = ("job", "model", "step", "items", "submitted_ms_ago")


class FleetTables:
    """Provides the rows of the tables.

    Jobs, versions and usage windows have rows on the coordinator only.
    """

    def __init__(self, node: FleetNode) -> None:
        self._node = node

    def register(self, sources: QuerySources) -> None:
        sources.add("node", NODE_COLUMNS, self._node_rows)
        sources.add("backends", BACKEND_COLUMNS, self._backend_rows)
        sources.add("routes", ROUTE_COLUMNS, self._route_rows)
        sources.add("jobs", JOB_COLUMNS, self._job_rows)
        sources.add("versions", VERSION_COLUMNS, self._version_rows)
        sources.add("tenants", TENANT_COLUMNS, self._tenant_rows)
        sources.add("usage", USAGE_COLUMNS, self._usage_rows)
        sources.add("quarantine", QUARANTINE_COLUMNS, self._quarantine_rows)
        sources.add("limits", LIMIT_COLUMNS, self._limit_rows)
        sources.add("kept_jobs", KEPT_JOB_COLUMNS, self._kept_job_rows)

    def _node_rows(self) -> list[Row]:
        node = self._node
        configuration = node.routing.configuration
        coordinator = node.coordinator
        return [
            (
                node.node_id,
                node.zone,
                configuration.version if configuration else None,
                coordinator.node_id if coordinator else None,
                coordinator.epoch if coordinator else None,
                node.coordinating,
                node.follows_feed,
                node.store_reachable,
            )
        ]

    def _backend_rows(self) -> list[Row]:
        now = steady_seconds()
        rows: list[Row] = []
        for state in self._node.directory.all():
            backend = state.backend
            server_columns = (
                backend.backend_id,
                backend.service,
                backend.zone,
                str(backend.address),
                backend.draining,
                state.in_flight,
                state.failures,
                state.avoided(now),
                state.ended,
                backend.start or None,
                bool(backend.unreadable),
                backend.unreadable or None,
            )
            versions = backend.model_versions or {None: None}
            rows.extend((*server_columns, model, version) for model, version in versions.items())
        rows.extend(
            _unreadable_row(backend_id, reason)
            for backend_id, reason in self._node.directory.unreadable.items()
        )
        return rows

    def _route_rows(self) -> list[Row]:
        configuration = self._node.routing.configuration
        return [
            (
                route.name,
                route.host,
                route.path_prefix,
                str(route.kind),
                ", ".join(f"{share.service}={share.weight:g}" for share in route.shares),
                route.rank,
                route.max_attempts,
                int(route.timeout_seconds * 1000),
            )
            for route in (configuration.routes if configuration else ())
        ]

    def _job_rows(self) -> list[Row]:
        now = time.time()
        return [
            (
                state.job.job_id,
                state.job.model,
                state.job.step,
                state.job.min_version,
                len(state.items),
                len(state.results),
                len(state.unlisted),
                state.ended,
                int((now - state.job.submitted_at) * 1000),
            )
            for state in self._node.coordinated_jobs()
        ]

    def _version_rows(self) -> list[Row]:
        return list(self._node.newest_versions().items())

    def _tenant_rows(self) -> list[Row]:
        configuration = self._node.routing.configuration
        tenants = configuration.tenants if configuration is not None else None
        return [(tenant.name, tenant.rank, len(tenant.key_digests)) for tenant in tenants or ()]

    def _usage_rows(self) -> list[Row]:
        return [
            (window.window, window.state, window.requests, window.tenants, window.ended_ms_ago)
            for window in self._node.usage_windows()
        ]

    def _quarantine_rows(self) -> list[Row]:
        now = steady_seconds()
        return [
            (
                record.fingerprint,
                record.service,
                "held" if record.quarantined else "suspected",
                len(record.crashed_servers),
                ", ".join(sorted(record.crashed_servers)),
                record.trials_used,
                record.clearance,
                int((now - record.changed_at) * 1000),
            )
            for record in self._node.quarantine.ledger.records()
            if record.crashed_servers
        ]

    def _limit_rows(self) -> list[Row]:
        calls = self._node.deferrable_calls
        limits = [(service, calls.limit_of(service)) for service in calls.services()]
        return [
            (service, limit.limit, limit.calls_in_flight, calls.waiting(service))
            for service, limit in limits
        ]

    def _kept_job_rows(self) -> list[Row]:
        now = time.time()
        return [
            (
                job_id,
                encoded.content.get("model"),
                encoded.content.get("step"),
                encoded.content.get("item_count"),
                int((now - encoded.content["submitted_at"]) * 1000),
            )
            for job_id, encoded in self._node.hints.hinted_jobs()
        ]


def _unreadable_row(backend_id: str, reason: str) -> Row:
    """Return the row of an entry that can't be matched to a known server."""
    row = dict.fromkeys(BACKEND_COLUMNS)
    row.update(backend=backend_id, unreadable=True, reason=reason)
    return tuple(row.values())
