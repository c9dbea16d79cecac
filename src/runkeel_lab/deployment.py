"""Typed description of an emulated deployment, read from TOML.

The format is documented in ``docs/lab.md``; ready files lie under ``examples/``.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, model_validator

from runkeel.api.configuration import SPEC_CLASSES, ObjectKind


class _Section(BaseModel):
    """Base of all sections: unknown keys are refused."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Zone(_Section):
    """A zone and the number of runkeel nodes in it."""

    name: str
    nodes: int = Field(1, ge=0)


class ZoneDelay(_Section):
    """One-way delay between two zones that differs from the deployment's common one."""

    zones: tuple[str, str]
    ms: float = Field(ge=0)


class ModelPool(_Section):
    """A model and its emulated engines, spread over the zones in turn."""

    name: str
    engines: int = Field(ge=1)
    versions: tuple[int, ...] = (1,)
    """Versions that the weight store holds at the start."""
    version_bytes: int = Field(1_000_000, gt=0)
    options: dict[str, Any] = Field(default_factory=dict)
    """Options of the engine stand-ins."""


class ServicePool(_Section):
    """An application service and its emulated servers, spread over the zones in turn."""

    name: str
    servers: int = Field(ge=1)
    options: dict[str, Any] = Field(default_factory=dict)
    """Options of the application stand-ins."""


class ConfigurationObject(_Section):
    """A configuration object that the object API holds at the start."""

    kind: ObjectKind
    name: str
    spec: dict[str, Any] = Field(default_factory=dict)

    @model_validator(mode="after")
    def _check_spec(self) -> ConfigurationObject:
        SPEC_CLASSES[self.kind].model_validate(self.spec)
        return self


class PlatformOptions(_Section):
    """Options of the platform's stand-ins."""

    object_api: dict[str, Any] = Field(default_factory=dict)
    machine_list: dict[str, Any] = Field(default_factory=dict)
    weight_store: dict[str, Any] = Field(default_factory=dict)
    scorer: dict[str, Any] = Field(default_factory=dict)
    scorers: int = Field(1, ge=0)


class Deployment(_Section):
    """An emulated deployment."""

    name: str
    zone_delay_ms: float = Field(0.5, ge=0)
    """One-way delay between two zones, in ms."""
    client_delay_ms: float = Field(1.0, ge=0)
    """One-way delay between clients and nodes, in ms."""
    zones: tuple[Zone, ...] = Field(min_length=1)
    zone_delays: tuple[ZoneDelay, ...] = ()
    models: tuple[ModelPool, ...] = ()
    services: tuple[ServicePool, ...] = ()
    objects: tuple[ConfigurationObject, ...] = ()
    platform: PlatformOptions = PlatformOptions()
    hollow: bool = False
    """Whether all engines and servers share one process."""
    data_nodes: int = Field(1, ge=0)
    """Nodes that have a data folder; the others keep nothing."""
    node_settings: dict[str, dict[str, Any]] = Field(default_factory=dict)
    """Further settings of every node, by section."""

    def delay_ms(self, zone: str, other_zone: str) -> float:
        """Return the one-way delay between two zones in ms; 0 inside a zone."""
        if zone == other_zone:
            return 0.0
        for delay in self.zone_delays:
            if set(delay.zones) == {zone, other_zone}:
                return delay.ms
        return self.zone_delay_ms

    def zone_of(self, index: int) -> str:
        """Return the zone of a pool's ``index``-th back end: zones take turns."""
        return self.zones[index % len(self.zones)].name

    def node_ids(self) -> dict[str, str]:
        """Return the zone of each node id."""
        return {
            f"{zone.name}-node-{number}": zone.name
            for zone in self.zones
            for number in range(1, zone.nodes + 1)
        }

    def configured_pools(self) -> frozenset[str]:
        """Return the services and models that the object API holds at the start."""
        kinds = (ObjectKind.SERVICE, ObjectKind.MODEL)
        return frozenset(entry.name for entry in self.objects if entry.kind in kinds)

    def scaled(self, scale: float) -> Deployment:
        """Return a copy with engine and server counts multiplied by ``scale`` (at least one)."""
        models = tuple(
            pool.model_copy(update={"engines": max(1, round(pool.engines * scale))})
            for pool in self.models
        )
        services = tuple(
            pool.model_copy(update={"servers": max(1, round(pool.servers * scale))})
            for pool in self.services
        )
        return self.model_copy(update={"models": models, "services": services})


def load_deployment(path: Path) -> Deployment:
    """Read a deployment file.

    Raises:
        OSError: the file can't be read.
        ValueError: it is no TOML, or not a deployment.
    """
    with path.open("rb") as file:
        return Deployment.model_validate(tomllib.load(file))
