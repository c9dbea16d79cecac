"""View of the machine list as the replicated state carries it."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping, Sequence

from runkeel.api.machines import Machine, MachineKind, MachineState
from runkeel.platform.machine_list import MachineEntry, machine_from_json
from runkeel.state import metrics
from runkeel.state.listeners import notify
from runkeel.state.replicated_state import ReplicatedState
from runkeel.state.versioned_record import MACHINE_KIND, VersionedRecord


class ReplicatedMachineView:
    """The :class:`runkeel.api.interfaces.MachineView` over the replicated state."""

    def __init__(self, state: ReplicatedState) -> None:
        self._state = state
        self._entries: dict[str, MachineEntry] = {}
        self._sorted: dict[tuple[MachineKind, str | None], tuple[Machine, ...]] = {}
        self._listeners: list[Callable[[], None]] = []
        self._take(state.records(MACHINE_KIND))
        state.on_change(self._on_records)

    def machine(self, machine_id: str) -> Machine | None:
        """Return one machine, or None."""
        entry = self._entries.get(machine_id)
        return entry.machine if entry is not None else None

    def addresses(self, machine_id: str) -> Mapping[str, str]:
        """Return all addresses of a machine by their names in the list; empty if unknown."""
        entry = self._entries.get(machine_id)
        return entry.addresses if entry is not None else {}

    def machines(self, kind: MachineKind, pool: str | None = None) -> tuple[Machine, ...]:
        """Return machines of a kind, sorted by id."""
        key = (kind, pool)
        if key not in self._sorted:
            self._sorted[key] = self._select(kind, pool)
        return self._sorted[key]

    def is_leaving(self, machine_id: str) -> bool:
        """Return whether the list shows the machine as leaving, or no longer shows it.

        A machine that the list has never shown is not leaving: the list lags.
        """
        machine = self.machine(machine_id)
        if machine is not None:
            return machine.state is MachineState.LEAVING
        record = self._state.get(MACHINE_KIND, machine_id)
        return record is not None and record.deleted

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call back after the list has changed."""
        self._listeners.append(callback)

    def _select(self, kind: MachineKind, pool: str | None) -> tuple[Machine, ...]:
        chosen = (
            entry.machine
            for entry in self._entries.values()
            if entry.machine.kind is kind and pool in (None, entry.machine.pool)
        )
        return tuple(sorted(chosen, key=lambda machine: machine.machine_id))

    def _on_records(self, records: Sequence[VersionedRecord]) -> None:
        machines = [record for record in records if record.kind == MACHINE_KIND]
        if not machines:
            return
        self._take(machines)
        notify(self._listeners)

    def _take(self, records: Sequence[VersionedRecord]) -> None:
        self._sorted.clear()
        for record in records:
            if record.deleted:
                self._entries.pop(record.name, None)
                continue
            try:
                entry = machine_from_json(
                    record.name, record.generation, json.loads(record.payload)
                )
            except (KeyError, TypeError, ValueError, AttributeError):
                metrics.UNPARSABLE_RECORDS.labels(MACHINE_KIND).inc()
                continue
            self._entries[record.name] = entry
