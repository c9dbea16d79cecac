"""A process of stand-ins, described by a TOML file."""

from __future__ import annotations

import json
import os
import signal
import sys
import tomllib
from pathlib import Path
from typing import Any

import gevent
from gevent.event import Event
from pydantic import BaseModel, ConfigDict, Field, field_validator

from runkeel.api.machines import Address
from runkeel_lab.standins.application import Application
from runkeel_lab.standins.control import ControlFace
from runkeel_lab.standins.engine import Engine
from runkeel_lab.standins.machine_list import MachineList
from runkeel_lab.standins.object_api import ObjectApi
from runkeel_lab.standins.scorer import Scorer
from runkeel_lab.standins.server import StandIn, StandInSettings
from runkeel_lab.standins.weight_store import WeightStore

STANDIN_CLASSES: dict[str, type[StandIn]] = {
    standin_class.kind: standin_class
    for standin_class in (Application, Engine, MachineList, ObjectApi, Scorer, WeightStore)
}
_LOCAL_REFERENCE = "@"


class StandInEntry(BaseModel):
    """One ``[[standin]]`` table."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    kind: str
    id: str = Field(min_length=1)
    zone: str = ""
    pool: str = ""
    listen: str = "127.0.0.1:0"
    options: dict[str, Any] = Field(default_factory=dict)

    @field_validator("kind")
    @classmethod
    def _known_kind(cls, kind: str) -> str:
        if kind not in STANDIN_CLASSES:
            raise ValueError(f"must be one of {', '.join(sorted(STANDIN_CLASSES))}")
        return kind

    @field_validator("listen")
    @classmethod
    def _address(cls, listen: str) -> str:
        Address.parse(listen)
        return listen


class ProcessConfig(BaseModel):
    """The whole file.

    Attributes:
        control_listen: address of the control face; see docs/design/emulator.md.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    control_listen: str = "127.0.0.1:0"
    standin: tuple[StandInEntry, ...] = Field(min_length=1)

    @field_validator("standin")
    @classmethod
    def _distinct_ids(cls, entries: tuple[StandInEntry, ...]) -> tuple[StandInEntry, ...]:
        if len({entry.id for entry in entries}) < len(entries):
            raise ValueError("ids must differ")
        return entries


class StandInGroup:
    """Stand-ins that share a process, with one control face."""

    def __init__(self, config: ProcessConfig) -> None:
        self._config = config
        self.standins: dict[str, StandIn] = {}
        self.control = ControlFace(Address.parse(config.control_listen), self.standins)

    def start(self) -> None:
        """Start all stand-ins in the file's order, then the control face.

        Raises:
            pydantic.ValidationError: an option is unknown or wrong.
            OSError: an address can't be bound or a journal can't be opened.
        """
        try:
            for entry in self._config.standin:
                standin = self._build(entry)
                standin.start()
                self.standins[entry.id] = standin
            self.control.start()
        except BaseException:
            self.stop()
            raise

    def stop(self) -> None:
        """Stop everything."""
        self.control.stop()
        for standin in self.standins.values():
            standin.stop()

    def describe(self) -> dict[str, Any]:
        """Return the addresses, as printed when ready."""
        return {
            "ready": True,
            "pid": os.getpid(),
            "control": str(self.control.address),
            "standins": {
                standin_id: {
                    "kind": standin.kind,
                    "zone": standin.settings.zone,
                    "pool": standin.settings.pool,
                    "address": str(standin.address),
                }
                for standin_id, standin in self.standins.items()
            },
        }

    def _build(self, entry: StandInEntry) -> StandIn:
        settings = StandInSettings(
            standin_id=entry.id,
            zone=entry.zone,
            pool=entry.pool,
            listen=Address.parse(entry.listen),
            options=self._resolve(entry.options),
        )
        return STANDIN_CLASSES[entry.kind](settings)

    def _resolve(self, options: dict[str, Any]) -> dict[str, Any]:
        """Put the address of an earlier stand-in of the file in place of ``@id``."""
        reference = options.get("weight_store")
        if not isinstance(reference, str) or not reference.startswith(_LOCAL_REFERENCE):
            return options
        target = self.standins.get(reference.removeprefix(_LOCAL_REFERENCE))
        if target is None:
            raise ValueError(f"no stand-in before this one has the id of {reference}")
        return {**options, "weight_store": str(target.address)}


def load_config(config_path: str | Path) -> ProcessConfig:
    """Read and check a file.

    Raises:
        OSError: the file can't be read.
        ValueError: it is no TOML, or a key is unknown or wrong.
    """
    with open(config_path, "rb") as file:
        return ProcessConfig.model_validate(tomllib.load(file))


def run_standins(config_path: str | Path) -> None:
    """Run the stand-ins of a file until SIGTERM or SIGINT.

    Prints one JSON line with the addresses on standard output when all are ready. The
    program must have called ``gevent.monkey.patch_all()``.

    Raises:
        OSError: the file can't be read, or an address can't be bound.
        ValueError: the file or an option is wrong.
    """
    group = StandInGroup(load_config(config_path))
    stopping = Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, stopping.set)
    group.start()
    print(json.dumps(group.describe()), flush=True)
    stopping.wait()
    group.stop()


if __name__ == "__main__":
    from gevent import monkey

    monkey.patch_all()
    run_standins(sys.argv[1])
