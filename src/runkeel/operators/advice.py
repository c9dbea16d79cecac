"""Warnings for commands that are accepted though they look like slips."""

from __future__ import annotations

from runkeel.api.configuration import ObjectKind
from runkeel.api.interfaces import MachineView, Membership
from runkeel.api.machines import MachineKind
from runkeel.errors import RunkeelError
from runkeel.operators.diagnostics import nearest
from runkeel.operators.statements import Change, ChangeMode
from runkeel.platform.weight_store import WeightStoreClient


class ChangeAdviser:
    """Compares a change with the machine list and the weight store.

    Both may lag or be down, so nothing here refuses a command.
    """

    def __init__(
        self, membership: Membership, machines: MachineView, weight_store: WeightStoreClient
    ) -> None:
        self._membership = membership
        self._machines = machines
        self._weight_store = weight_store

    def __call__(self, change: Change) -> list[str]:
        """Return warnings."""
        if change.mode is ChangeMode.DELETE:
            return []
        if change.kind in (ObjectKind.DRAIN, ObjectKind.ENGINE_ROLE):
            return self._about_machine(change)
        version = dict(change.fields).get("target_version")
        if change.kind is ObjectKind.MODEL and version:
            return self._about_version(change.name, int(version))
        return []

    def _about_machine(self, change: Change) -> list[str]:
        kinds = list(MachineKind)
        if change.kind is ObjectKind.ENGINE_ROLE:
            kinds = [MachineKind.ENGINE]
        known = {machine.machine_id for kind in kinds for machine in self._machines.machines(kind)}
        known |= {member.node_id for member in self._membership.live_members()}
        if change.name in known:
            return []
        similar = nearest(change.name, known)
        hint = f'; did you mean "{similar}"?' if similar else ""
        return [f"the machine list shows no {change.name!r}{hint}"]

    def _about_version(self, model: str, version: int) -> list[str]:
        try:
            stored = {item.version for item in self._weight_store.versions(model)}
        except RunkeelError as error:
            return [f"whether the weight store holds version {version} is not known: {error}"]
        if version in stored:
            return []
        return [f"the weight store does not hold version {version} of {model!r} yet"]
