"""Typed view of the configuration in force."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence

from loguru import logger
from pydantic import ValidationError

from runkeel.api.configuration import (
    SPEC_CLASSES,
    EngineRoleSpec,
    MemberLimitSpec,
    ModelSpec,
    ObjectKind,
    PriorityClassSpec,
    ServiceSpec,
    Spec,
)
from runkeel.state import metrics
from runkeel.state.listeners import notify
from runkeel.state.replicated_state import ReplicatedState
from runkeel.state.versioned_record import VersionedRecord

DEFAULT_MEMBER = "default"
_BUILT_IN_MEMBER_LIMIT = MemberLimitSpec()
_BUILT_IN_ENGINE_ROLE = EngineRoleSpec()


class ConfigurationView:
    """The :class:`runkeel.api.interfaces.Configuration` over the replicated state.

    Specs are parsed once, when their record arrives. A spec that can't be parsed (written by a
    newer release, or by hand) is counted and leaves the last good one in force.
    """

    def __init__(self, state: ReplicatedState) -> None:
        self._state = state
        self._specs: dict[ObjectKind, dict[str, Spec]] = {kind: {} for kind in ObjectKind}
        self._listeners: list[Callable[[ObjectKind, str], None]] = []
        for kind in ObjectKind:
            for record in state.records(kind):
                self._parse(kind, record)
        state.on_change(self._on_records)

    def service(self, name: str) -> ServiceSpec | None:
        """Return a service's spec, or None."""
        return self._specs[ObjectKind.SERVICE].get(name)

    def model(self, name: str) -> ModelSpec | None:
        """Return a model's spec, or None."""
        return self._specs[ObjectKind.MODEL].get(name)

    def priority_class(self, name: str) -> PriorityClassSpec | None:
        """Return a priority class, or None."""
        return self._specs[ObjectKind.PRIORITY_CLASS].get(name)

    def member_limit(self, member: str) -> MemberLimitSpec:
        """Return the member's limits, else those named ``default``, else built-in ones."""
        limits = self._specs[ObjectKind.MEMBER_LIMIT]
        return limits.get(member) or limits.get(DEFAULT_MEMBER) or _BUILT_IN_MEMBER_LIMIT

    def engine_role(self, backend_id: str) -> EngineRoleSpec:
        """Return the role that the operator gave an engine."""
        return self._specs[ObjectKind.ENGINE_ROLE].get(backend_id) or _BUILT_IN_ENGINE_ROLE

    def is_draining(self, target_id: str) -> bool:
        """Return whether the operator drains this back end or node."""
        return target_id in self._specs[ObjectKind.DRAIN]

    def spec(self, kind: ObjectKind, name: str) -> Spec | None:
        """Return the spec of any object, or None."""
        return self._specs[kind].get(name)

    def names(self, kind: ObjectKind) -> tuple[str, ...]:
        """Return the sorted names of the objects of a kind, without deleted ones."""
        return tuple(sorted(self._specs[kind]))

    def generation(self, kind: ObjectKind, name: str) -> int:
        """Return the object's generation; 0 for none."""
        record = self._state.get(kind, name)
        return record.generation if record is not None else 0

    def on_change(self, callback: Callable[[ObjectKind, str], None]) -> None:
        """Call back after an object has changed."""
        self._listeners.append(callback)

    def _on_records(self, records: Sequence[VersionedRecord]) -> None:
        for record in records:
            try:
                kind = ObjectKind(record.kind)
            except ValueError:
                continue  # A machine, or a kind of a newer release.
            self._parse(kind, record)
            notify(self._listeners, kind, record.name)

    def _parse(self, kind: ObjectKind, record: VersionedRecord) -> None:
        specs = self._specs[kind]
        if record.deleted:
            specs.pop(record.name, None)
            return
        try:
            specs[record.name] = SPEC_CLASSES[kind].model_validate(json.loads(record.payload))
        except (ValidationError, ValueError) as error:
            metrics.UNPARSABLE_RECORDS.labels(kind).inc()
            logger.warning(
                "{}/{} generation {} can't be parsed; the last good one stays: {}",
                kind,
                record.name,
                record.generation,
                error,
                code="unparsable_record",
            )
