"""Target state of an engine, as the configuration in force asks for it."""

from __future__ import annotations

from dataclasses import dataclass

from runkeel.api.configuration import ObjectKind
from runkeel.api.interfaces import Configuration
from runkeel.api.machines import EngineStatus, Machine


@dataclass(frozen=True, slots=True)
class TargetState:
    """What an engine should serve.

    Attributes:
        role: empty when no operator ever set one; the engine then keeps its own.
        paused: loads stop where they stand; role changes go on.
    """

    model: str
    version: int
    adapter: str
    role: str
    model_generation: int
    role_generation: int
    paused: bool = False

    def needs_load(self, status: EngineStatus) -> bool:
        """Return whether the reported weights differ from the target."""
        if self.version == 0 or self.paused:
            return False
        if status.model != self.model or status.weight_version != self.version:
            return True
        return bool(self.adapter) and self.adapter not in status.adapters

    def needs_role(self, status: EngineStatus) -> bool:
        """Return whether the reported role differs from the target."""
        return bool(self.role) and status.role != self.role

    def is_reached(self, status: EngineStatus) -> bool:
        """Return whether the report shows the target state."""
        return not self.needs_load(status) and not self.needs_role(status)


def target_of(machine: Machine, configuration: Configuration) -> TargetState | None:
    """Return the target state of an engine, or None when its model is not configured."""
    model = configuration.model(machine.pool)
    if model is None:
        return None
    role_generation = configuration.generation(ObjectKind.ENGINE_ROLE, machine.machine_id)
    role = configuration.engine_role(machine.machine_id).role if role_generation else ""
    return TargetState(
        model=machine.pool,
        version=model.target_version,
        adapter=model.adapter,
        role=role,
        model_generation=configuration.generation(ObjectKind.MODEL, machine.pool),
        role_generation=role_generation,
        paused=model.rollout_paused,
    )
