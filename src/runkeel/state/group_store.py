"""Gives replicated records their group objects from the replicated configuration."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from typing import Any

from runkeel.api.configuration import ObjectKind, RecordGroupSpec
from runkeel.state.changes import ConfigurationWriter
from runkeel.state.configuration import ConfigurationView
from runkeel.state.records.group import GroupView


class ConfigurationGroupStore:
    """Implements :class:`runkeel.state.records.group.GroupStore`."""

    def __init__(
        self, node_id: str, configuration: ConfigurationView, writer: ConfigurationWriter
    ) -> None:
        self._node_id = node_id
        self._configuration = configuration
        self._writer = writer

    def group(self, name: str) -> GroupView | None:
        """Return the group object in force here, or None."""
        spec = self._configuration.spec(ObjectKind.RECORD_GROUP, name)
        if not isinstance(spec, RecordGroupSpec):
            return None
        generation = self._configuration.generation(ObjectKind.RECORD_GROUP, name)
        return GroupView(generation, spec)

    def change(
        self, name: str, expected_generation: int, spec: RecordGroupSpec, timeout_seconds: float
    ) -> None:
        """Write the object if its generation is still the expected one; see the protocol."""

        def edit(_present: dict[str, Any] | None) -> dict[str, Any]:
            return spec.model_dump(mode="json")

        self._writer.change(
            ObjectKind.RECORD_GROUP,
            name,
            edit,
            command_id=f"record-group-{uuid.uuid4()}",
            changed_by=self._node_id,
            expected_generation=expected_generation,
            timeout_seconds=timeout_seconds,
        )

    def on_change(self, callback: Callable[[str], None]) -> None:
        """Call back with a group's name after its object has changed."""

        def changed(kind: ObjectKind, name: str) -> None:
            if kind is ObjectKind.RECORD_GROUP:
                callback(name)

        self._configuration.on_change(changed)
