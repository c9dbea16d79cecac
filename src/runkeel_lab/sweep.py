"""Runs many experiments one after another, singly or with their faults in pairs."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from rich.table import Table

from runkeel_lab.deployment import Deployment
from runkeel_lab.experiment import Experiment, load_experiment
from runkeel_lab.processes import LabError
from runkeel_lab.runner import deployment_of, fresh_folder, run_experiment
from runkeel_lab.summary import make_console


def run_sweep(paths: Sequence[Path], out: Path, seconds: float, seed: int, pairs: bool) -> bool:
    """Run the experiments and print a line for each; return whether nothing was violated."""
    console = make_console()
    folder = fresh_folder(out)
    loaded = [_load(path) for path in paths]
    chosen = _pairs(loaded) if pairs else loaded
    results: list[tuple[str, dict[str, Any] | None, str]] = []
    for experiment, deployment in chosen:
        run_folder = fresh_folder(folder / experiment.name)
        length = seconds or experiment.seconds
        try:
            report = run_experiment(
                experiment, deployment, run_folder, seed or experiment.seed, length
            )
            results.append((experiment.name, report, ""))
        except LabError as error:
            results.append((experiment.name, None, str(error).splitlines()[0]))
        console.print(f"{experiment.name}: {_verdict(results[-1][1], results[-1][2])}")
    console.print(_table(results))
    return all(report is not None and not report["violations"] for _, report, _ in results)


def _load(path: Path) -> tuple[Experiment, Deployment]:
    experiment = load_experiment(path)
    return experiment, deployment_of(experiment, path, 1.0)


def _pairs(
    loaded: Sequence[tuple[Experiment, Deployment]],
) -> list[tuple[Experiment, Deployment]]:
    """Join the faults of each two experiments of the same deployment."""
    joined = []
    for (first, deployment), (second, other) in itertools.combinations(loaded, 2):
        if deployment.name == other.name and first.faults and second.faults:
            name = f"{first.name}+{second.name.removeprefix(deployment.name + '-')}"
            faults = (*first.faults, *second.faults)
            update = {"name": name, "faults": faults}
            joined.append((first.model_copy(update=update), deployment))
    return joined


def _verdict(report: dict[str, Any] | None, error: str) -> str:
    if report is None:
        return f"not run: {error}"
    kinds = Counter(violation["kind"] for violation in report["violations"])
    return ", ".join(f"{kind} {count}" for kind, count in sorted(kinds.items())) or "none"


def _table(results: Sequence[tuple[str, dict[str, Any] | None, str]]) -> Table:
    table = Table(title="violations by experiment", title_justify="left")
    for column in ("experiment", "calls", "answered", "samples", "violations"):
        table.add_column(column)
    for name, report, error in results:
        callers = report["callers"].values() if report else ()
        trainers = report["trainers"].values() if report else ()
        table.add_row(
            name,
            str(sum(each["sent"] for each in callers)),
            str(sum(each["answered"] for each in callers)),
            str(sum(each["samples"] for each in trainers)),
            _verdict(report, error),
        )
    return table
