"""Measures how long trainers wait and how stale their samples are, over several experiments.

``python -m runkeel_lab.measurements.rollouts FILES... [--seconds S] [--out out/rollouts]``

The experiments run one after another; a table compares them, and ``rollouts.json`` holds it.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import os  # noqa: E402
from collections import Counter  # noqa: E402
from dataclasses import asdict, dataclass  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402

from runkeel_lab.experiment import load_experiment  # noqa: E402
from runkeel_lab.journals import Journals  # noqa: E402
from runkeel_lab.launcher import EmulatedDeployment  # noqa: E402
from runkeel_lab.measurements.engine_use import EngineUse, engine_use  # noqa: E402
from runkeel_lab.report import (  # noqa: E402
    RunResult,
    build_report,
    tokens_per_second,
    write_records,
    write_report,
)
from runkeel_lab.runner import (  # noqa: E402
    SETTLE_SECONDS,
    ExperimentRun,
    deployment_of,
    fresh_folder,
)
from runkeel_lab.standins.engine.options import EngineOptions  # noqa: E402
from runkeel_lab.summary import make_console, make_table  # noqa: E402
from runkeel_lab.trainer import Trainer  # noqa: E402

MAXIMUM_RUNNING = EngineOptions.model_fields["max_running"].default


@dataclass(frozen=True, slots=True)
class RolloutFigures:
    """One trainer's figures in one experiment.

    Attributes:
        idle_ratio: idle fraction over its lower bound; None when the bound is 0.
        median_staleness: versions behind at hand-over.
        median_staleness_trained: versions behind when the trainer trained on the sample.
        slots_percent: engine slots that held a sequence.
        capacity_percent: tokens generated, of what full batches without prefill generate.
        weights_seconds: longest time from a version's publication until all engines had it or
            a newer one.
        load_average: of the machine over the last minute, at the end of the run.
    """

    experiment: str
    trainer: str
    caller_p99_ms: dict[str, float | None]
    violations: int
    load_average: float
    steps: int = 0
    seconds_a_step: float | None = None
    idle_fraction: float | None = None
    idle_lower_bound: float | None = None
    idle_ratio: float | None = None
    median_staleness: int | None = None
    largest_staleness: int | None = None
    median_staleness_trained: int | None = None
    too_stale: int = 0
    missing: int = 0
    duplicated: int = 0
    wrong_version: int = 0
    slots_percent: float | None = None
    capacity_percent: float | None = None
    weights_seconds: float | None = None


def main() -> None:
    """Run the experiments and print the comparison."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("files", type=Path, nargs="+")
    parser.add_argument("--seconds", type=float, default=0.0)
    parser.add_argument("--out", type=Path, default=Path("out/rollouts"))
    arguments = parser.parse_args()
    folder = fresh_folder(arguments.out)
    rows: list[RolloutFigures] = []
    for path in arguments.files:
        rows += run_file(path, folder / path.stem, arguments.seconds)
        (folder / "rollouts.json").write_text(
            json.dumps([asdict(row) for row in rows], indent=2) + "\n"
        )
    figures = tuple(RolloutFigures.__slots__)[2:]
    columns = {
        figure: {f"{row.experiment} {row.trainer}": asdict(row)[figure] for row in rows}
        for figure in figures
    }
    names = tuple(f"{row.experiment} {row.trainer}" for row in rows)
    make_console().print(make_table("rollouts", columns, names))


def run_file(path: Path, folder: Path, seconds: float) -> list[RolloutFigures]:
    """Run one experiment and return the figures of each of its trainers."""
    experiment = load_experiment(path)
    deployment = deployment_of(experiment, path, 1.0)
    folder.mkdir(parents=True)
    with EmulatedDeployment(deployment, folder, experiment.seed) as running:
        gevent.sleep(SETTLE_SECONDS)
        run = ExperimentRun(experiment, running, experiment.seed, seconds or experiment.seconds)
        run.run()
        load_average = os.getloadavg()[0]
    run.verify()
    report = build_report(run.result)
    write_report(report, folder)
    write_records(run.result.records, folder)
    journals = Journals.read(folder / "journals")
    if not run.result.trainers:
        p99 = _caller_p99(report)
        violations = len(report["violations"])
        return [RolloutFigures(experiment.name, "no trainer", p99, violations, load_average)]
    return [
        _figures(run.result, report, journals, number, load_average)
        for number in range(len(run.result.trainers))
    ]


def _figures(
    result: RunResult, report: dict, journals: Journals, number: int, load_average: float
) -> RolloutFigures:
    trainer, findings = result.trainers[number]
    row = report["trainers"][trainer.spec.name]
    time = trainer.time
    idle, bound = row["idle_fraction"], row["idle_lower_bound"]
    use = _use(result, trainer, journals)
    capacity = tokens_per_second(result.deployment, trainer.spec.model)
    span = time.ended - time.began
    return RolloutFigures(
        experiment=result.experiment.name,
        trainer=trainer.spec.name,
        steps=time.steps,
        seconds_a_step=round(span / time.steps, 3) if time.steps else None,
        idle_fraction=idle,
        idle_lower_bound=bound,
        idle_ratio=round(idle / bound, 3) if idle is not None and bound else None,
        median_staleness=_median(findings.staleness_versions),
        largest_staleness=max(findings.staleness_versions, default=None),
        median_staleness_trained=_median(time.staleness),
        too_stale=row["too_stale"],
        missing=row["missing"],
        duplicated=row["duplicated"],
        wrong_version=row["wrong_version"],
        slots_percent=round(100 * use.slot_seconds / (use.slots * span), 2) if span else None,
        capacity_percent=round(100 * use.tokens / (capacity * span), 2) if span else None,
        weights_seconds=_weights_seconds(journals, trainer.spec.model, _engines(result, trainer)),
        caller_p99_ms=_caller_p99(report),
        violations=len(report["violations"]),
        load_average=round(load_average, 1),
    )


def _caller_p99(report: dict) -> dict[str, float | None]:
    return {name: each["p99_ms"] for name, each in report["callers"].items()}


def _engines(result: RunResult, trainer: Trainer) -> list[str]:
    """Return the ids of the engines that serve a trainer's model."""
    model = trainer.spec.model
    pool = next(pool for pool in result.deployment.models if pool.name == model)
    return [f"{model}-{number}" for number in range(1, pool.engines + 1)]


def _use(result: RunResult, trainer: Trainer, journals: Journals) -> EngineUse:
    engines = _engines(result, trainer)
    pool = next(pool for pool in result.deployment.models if pool.name == trainer.spec.model)
    slots = pool.engines * int(pool.options.get("max_running", MAXIMUM_RUNNING))
    return engine_use(journals, engines, slots, trainer.time.began, trainer.time.ended)


def _weights_seconds(journals: Journals, model: str, engines: list[str]) -> float | None:
    """Return the longest time that a published version took to all engines; None without any.

    A version that came so late that the run ended first is left out.
    """
    longest = None
    for published in journals.of("weight-store", "published"):
        if published.fields["model"] != model:
            continue
        version = published.fields["version"]
        swapped = [
            next(
                (e.at for e in journals.of(engine, "swapped") if e.fields["version"] >= version),
                None,
            )
            for engine in engines
        ]
        if None not in swapped:
            longest = max(longest or 0.0, max(swapped) - published.at)
    return None if longest is None else round(longest, 3)


def _median(counts: Counter[int]) -> int | None:
    """Return the lower median of counted values."""
    half, seen = sum(counts.values()) / 2, 0
    for value, count in sorted(counts.items()):
        seen += count
        if seen >= half:
            return value
    return None


if __name__ == "__main__":
    main()
