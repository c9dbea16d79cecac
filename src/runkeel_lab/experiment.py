"""Experiment files: a deployment, its load, its trainers and a schedule of faults.

The format is documented in ``docs/lab.md``.
"""

from __future__ import annotations

import enum
import tomllib
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ConfigDict, Field

from runkeel_lab.load.arrivals import LengthDistribution
from runkeel_lab.load.classes import CallerClass

_MAXIMUM_EXTENSIONS = 4


class _Section(BaseModel):
    """Base of all sections: unknown keys are refused."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class TrainerSpec(_Section):
    """An emulated trainer."""

    name: str
    model: str
    tasks_per_step: int = Field(32, ge=1)
    group_size: int = Field(4, ge=1)
    """Tasks that share a prompt's group."""
    train_ms: float = Field(500.0, ge=0)
    """Training time of a whole step."""
    minibatch: int = Field(0, ge=0)
    """Train after so many samples instead of after a whole step; 0: whole steps."""
    steps_per_version: int = Field(1, ge=0)
    """Publish new weights after so many steps; 0: never."""
    steps_ahead: int = Field(1, ge=0)
    """Steps submitted before the present one is trained on."""
    steps_pulled: int = Field(1, ge=1)
    """Steps pulled at once; with more than 1, stragglers are trained on with the next step."""
    begin_below: int = Field(0, ge=0)
    """With several steps pulled, begin one when fewer samples than this are missing; 0: at once."""
    finish_seconds: float = Field(30.0, gt=0)
    """Time after the run's end in which the steps that were begun must come whole."""
    warm_up_steps: int = Field(1, ge=0)
    """Steps at the start that the idle fraction leaves out."""
    maximum_steps: int = Field(0, ge=0)
    """Stop after so many steps; 0: go on until the run ends."""
    pull_maximum: int = Field(64, ge=1)
    pull_wait_ms: int = Field(1_000, ge=0)
    prompt_words: LengthDistribution = LengthDistribution(median=30.0, tail_fraction=0.0)
    tokens: LengthDistribution = LengthDistribution(median=64.0)
    max_tokens: int = Field(2_048, ge=1)


class FaultKind(enum.StrEnum):
    """Faults that a schedule can hold."""

    KILL = "kill"
    PAUSE = "pause"
    PLANNED_STOP = "planned_stop"
    CUT = "cut"
    STORE_DOWN = "store_down"
    STORE_SLOW = "store_slow"
    STORE_LOSE_ANSWERS = "store_lose_answers"
    STORE_RESTORE = "store_restore"
    SWAP_FAILURE = "swap_failure"
    ENGINE_CRASH = "engine_crash"
    APPLICATION_CRASH = "application_crash"
    LIST_LEAVING = "list_leaving"
    DRAIN = "drain"
    CONFIGURATION_CHANGE = "configuration_change"
    RACING_COMMANDS = "racing_commands"
    MACHINE_LIST_LAG = "machine_list_lag"
    WEIGHT_STORE_DOWN = "weight_store_down"
    SCORER_DOWN = "scorer_down"


class FaultSpec(BaseModel):
    """One fault of the schedule."""

    model_config = ConfigDict(extra="forbid", frozen=True, populate_by_name=True)

    at: float = Field(ge=0)
    """Seconds after the load's start."""
    kind: FaultKind
    target: str = ""
    """Machine id, ``zone|zone``, or nothing, as the kind asks."""
    duration: float = Field(0.0, ge=0, alias="for")
    """Seconds until it is undone; 0: it stays (or the kind has no end)."""
    value: float = 0.0
    """Kind's own size, such as a delay in ms."""
    commands: tuple[str, ...] = ()
    """Operators' commands of ``configuration_change`` and ``racing_commands``."""


class Experiment(_Section):
    """An experiment."""

    name: str
    deployment: str
    """Path of the deployment file, relative to the experiment's."""
    seconds: float = Field(30.0, gt=0)
    seed: int = 1
    callers: tuple[CallerClass, ...] = ()
    trainers: tuple[TrainerSpec, ...] = ()
    faults: tuple[FaultSpec, ...] = Field((), alias="fault")
    deployment_overrides: dict[str, Any] = Field(default_factory=dict)

    model_config = ConfigDict(extra="forbid", frozen=True, populate_by_name=True)


def load_experiment(path: Path) -> Experiment:
    """Read an experiment file; what it lacks is taken from the file that it ``extends``.

    Raises:
        OSError: the file can't be read.
        ValueError: it is no TOML, or not an experiment.
    """
    return Experiment.model_validate(_read(path, _MAXIMUM_EXTENSIONS))


def _read(path: Path, extensions: int) -> dict[str, Any]:
    with path.open("rb") as file:
        content = tomllib.load(file)
    base = content.pop("extends", None)
    if base is None:
        return content
    if extensions == 0:
        raise ValueError(f"{path}: extends too many files")
    return {**_read(path.parent / base, extensions - 1), **content}
