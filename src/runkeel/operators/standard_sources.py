"""Tables of a node's own state: nodes, machines, back ends, configuration, roll-outs, commands."""

from __future__ import annotations

from dataclasses import dataclass

from runkeel.api.configuration import ObjectKind
from runkeel.api.interfaces import (
    Configuration,
    EngineDirectory,
    MachineView,
    Membership,
    Ownership,
)
from runkeel.api.machines import Machine, MachineKind
from runkeel.errors import RunkeelError
from runkeel.operators.commands import COMMAND_COLUMNS, CommandRunner
from runkeel.operators.sources import QuerySources, Row
from runkeel.operators.statements import Scalar
from runkeel.operators.values import field_names
from runkeel.platform.weight_store import WeightStoreClient
from runkeel.weights.roll_out import RollOut

_HIDDEN_FIELDS = {"token_sha256", "salt"}
_HIDDEN = "(hidden)"
NODE_COLUMNS = ("node", "zone", "status", "incarnation", "http", "draining", "leaving")
MACHINE_COLUMNS = ("machine", "kind", "zone", "pool", "http", "state", "list_version", "owner")
BACKEND_COLUMNS = (
    "backend",
    "kind",
    "zone",
    "pool",
    "owner",
    "in_service",
    "draining",
    "leaving",
    "version",
    "adapters",
    "role",
    "swap",
    "running",
    "waiting",
    "max_running",
    "kv_used",
    "age_ms",
)
CONFIG_COLUMNS = ("kind", "name", "generation", "field", "value")
VERSION_COLUMNS = ("model", "version", "target", "node", "engines", "age_ms")
STORED_VERSION_COLUMNS = ("model", "version", "bytes")
ROLLOUT_COLUMNS = (
    "model",
    "backend",
    "zone",
    "owner",
    "state",
    "version",
    "target_version",
    "role",
    "target_role",
    "failures",
    "last_error",
    "age_ms",
)
_PLURALS = {
    ObjectKind.SERVICE: "services",
    ObjectKind.MODEL: "models",
    ObjectKind.PRIORITY_CLASS: "priority_classes",
    ObjectKind.MEMBER_LIMIT: "member_limits",
    ObjectKind.DRAIN: "drains",
    ObjectKind.OPERATOR: "operators",
}


@dataclass(frozen=True, slots=True)
class StandardSources:
    """Provides the rows of the standard tables."""

    membership: Membership
    configuration: Configuration
    machines: MachineView
    ownership: Ownership
    engines: EngineDirectory
    roll_out: RollOut
    commands: CommandRunner
    weight_store: WeightStoreClient

    def register(self, sources: QuerySources) -> None:
        """Add all tables."""
        sources.add("nodes", NODE_COLUMNS, self.nodes)
        sources.add("machines", MACHINE_COLUMNS, self.machine_rows)
        sources.add("backends", BACKEND_COLUMNS, self.backends, everywhere=True)
        sources.add("versions", VERSION_COLUMNS, self.versions, everywhere=True)
        sources.add("stored_versions", STORED_VERSION_COLUMNS, self.stored_versions)
        sources.add("rollouts", ROLLOUT_COLUMNS, self.rollouts, everywhere=True)
        sources.add("commands", COMMAND_COLUMNS, self.commands.rows, everywhere=True)
        sources.add("config", CONFIG_COLUMNS, self.config)
        for kind, plural in _PLURALS.items():
            columns = ("name", "generation", *field_names(kind))
            sources.add(plural, columns, lambda kind=kind: self.objects(kind))

    def nodes(self) -> list[Row]:
        """Return the live nodes and those that only the machine list shows."""
        rows = []
        live = {member.node_id: member for member in self.membership.live_members()}
        for member in live.values():
            node_id = member.node_id
            rows.append(
                (
                    node_id,
                    member.zone,
                    member.status.name.lower(),
                    member.incarnation,
                    str(member.http),
                    self.configuration.is_draining(node_id),
                    self.machines.is_leaving(node_id),
                )
            )
        for machine in self.machines.machines(MachineKind.NODE):
            if machine.machine_id not in live:
                rows.append(self._missing_node(machine))
        return sorted(rows)

    def machine_rows(self) -> list[Row]:
        """Return the machine list."""
        return [
            (
                machine.machine_id,
                str(machine.kind),
                machine.zone,
                machine.pool,
                str(machine.http) if machine.http else None,
                str(machine.state),
                machine.version,
                self.ownership.owner_of(machine.machine_id),
            )
            for kind in MachineKind
            for machine in self.machines.machines(kind)
        ]

    def backends(self) -> list[Row]:
        """Return the back ends that this node owns."""
        return [self._backend(machine) for machine in self.ownership.owned()]

    def versions(self) -> list[Row]:
        """Return how many of this node's engines serve which version."""
        ages: dict[tuple[str, int], list[float]] = {}
        for machine in self.ownership.owned():
            status = self.engines.status(machine.machine_id)
            if status is not None:
                key = (machine.pool, status.weight_version)
                ages.setdefault(key, []).append(status.age_seconds)
        node_id = self.membership.node_id
        return [
            (
                model,
                version,
                self._target_version(model) == version,
                node_id,
                len(seconds),
                _milliseconds(max(seconds)),
            )
            for (model, version), seconds in sorted(ages.items())
        ]

    def stored_versions(self) -> list[Row]:
        """Return the versions in the weight store; none of a model that can't be read."""
        rows: list[Row] = []
        for model in self.configuration.names(ObjectKind.MODEL):
            try:
                versions = self.weight_store.versions(model)
            except RunkeelError:
                continue
            rows.extend((model, item.version, item.size_bytes) for item in versions)
        return rows

    def rollouts(self) -> list[Row]:
        """Return where each of this node's engines stands."""
        return [
            (
                progress.model,
                progress.backend_id,
                progress.zone,
                self.membership.node_id,
                str(progress.state),
                progress.version if progress.age_seconds >= 0 else None,
                progress.target_version,
                progress.role,
                progress.target_role,
                progress.failures,
                progress.last_error,
                _milliseconds(progress.age_seconds),
            )
            for progress in self.roll_out.progress()
        ]

    def config(self) -> list[Row]:
        """Return each field of each configuration object."""
        rows: list[Row] = []
        for kind in ObjectKind:
            for name in self.configuration.names(kind):
                generation = self.configuration.generation(kind, name)
                for field_name, value in self._dump(kind, name).items():
                    rows.append((str(kind), name, generation, field_name, value))
        return rows

    def objects(self, kind: ObjectKind) -> list[Row]:
        """Return the objects of a kind, a field a column."""
        rows: list[Row] = []
        for name in self.configuration.names(kind):
            fields = self._dump(kind, name)
            values = [fields.get(field_name) for field_name in field_names(kind)]
            rows.append((name, self.configuration.generation(kind, name), *values))
        return rows

    def _missing_node(self, machine: Machine) -> Row:
        member = self.membership.member(machine.machine_id)
        return (
            machine.machine_id,
            machine.zone,
            member.status.name.lower() if member else "unknown",
            member.incarnation if member else 0,
            str(machine.http) if machine.http else "",
            self.configuration.is_draining(machine.machine_id),
            self.machines.is_leaving(machine.machine_id),
        )

    def _backend(self, machine: Machine) -> Row:
        backend_id = machine.machine_id
        is_engine = machine.kind is MachineKind.ENGINE
        status = self.engines.status(backend_id) if is_engine else None
        return (
            backend_id,
            str(machine.kind),
            machine.zone,
            machine.pool,
            self.membership.node_id,
            self.engines.in_service(backend_id) if is_engine else None,
            self.configuration.is_draining(backend_id),
            self.machines.is_leaving(backend_id),
            status.weight_version if status else None,
            ", ".join(status.adapters) if status else None,
            status.role if status else None,
            status.swap if status else None,
            status.running if status else None,
            status.waiting if status else None,
            status.max_running if status else None,
            round(status.kv_used_blocks / max(1, status.kv_total_blocks), 3) if status else None,
            _milliseconds(status.age_seconds) if status else None,
        )

    def _target_version(self, model: str) -> int | None:
        spec = self.configuration.model(model)
        return spec.target_version if spec is not None else None

    def _dump(self, kind: ObjectKind, name: str) -> dict[str, Scalar]:
        spec = self.configuration.spec(kind, name)
        if spec is None:
            return {}
        fields = spec.model_dump(mode="json")
        return {name: _scalar(name, value) for name, value in fields.items()}


def _scalar(field_name: str, value: object) -> Scalar:
    if field_name in _HIDDEN_FIELDS:
        return _HIDDEN
    if isinstance(value, list):
        return ", ".join(str(item) for item in value)
    return value


def _milliseconds(seconds: float) -> int | None:
    return int(seconds * 1000) if seconds >= 0 else None
