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

from runkeel_lab.deployment import Deployment  # noqa: E402
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
from runkeel_lab.summary import make_console, make_table  # noqa: E402


@dataclass(frozen=True, slots=True)
class RolloutFigures:
    """One trainer's figures in one experiment.

    Attributes:
        idle_ratio: idle fraction over its lower bound; None when the bound is 0.
        median_staleness: versions behind at hand-over.
        median_staleness_trained: versions behind when the trainer trained on the sample.
        slots_percent: engine slots that held a sequence.
        capacity_percent: tokens generated, of what full batches without prefill generate.
        load_average: of the machine over the last minute, at the end of the run.
    """

    experiment: str
    trainer: str
    steps: int
    seconds_a_step: float | None
    idle_fraction: float | None
    idle_lower_bound: float | None
    idle_ratio: float | None
    median_staleness: int | None
    largest_staleness: int | None
    median_staleness_trained: int | None
    too_stale: int
    missing: int
    duplicated: int
    wrong_version: int
    slots_percent: float | None
    capacity_percent: float | None
    caller_p99_ms: dict[str, float | None]
    violations: int
    load_average: float


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
    use = _use(result.deployment, journals, trainer.spec.model, time.began, time.ended)
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
        caller_p99_ms={name: each["p99_ms"] for name, each in report["callers"].items()},
        violations=len(report["violations"]),
        load_average=round(load_average, 1),
    )


def _use(
    deployment: Deployment, journals: Journals, model: str, began: float, ended: float
) -> EngineUse:
    pool = next(pool for pool in deployment.models if pool.name == model)
    engines = [f"{model}-{number}" for number in range(1, pool.engines + 1)]
    slots = pool.engines * int(pool.options.get("max_running", 32))
    return engine_use(journals, engines, slots, began, ended)


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
