"""Builds ``report.json``; its keys are stable and documented in ``docs/lab.md``."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from runkeel_lab.deployment import Deployment
from runkeel_lab.experiment import Experiment
from runkeel_lab.faults import FaultRecord
from runkeel_lab.load.records import CallRecord, Outcome
from runkeel_lab.operators import CommandRecord
from runkeel_lab.statistics import quantile
from runkeel_lab.trainer import Trainer
from runkeel_lab.verify_control import ControlFindings
from runkeel_lab.verify_samples import TrainerFindings
from runkeel_lab.violations import Violation, ViolationKind

_STAND_IN_DEFAULTS = {"base_ms": 8.0, "per_sequence_ms": 0.1, "max_running": 32}


@dataclass(slots=True)
class RunResult:
    """Everything that a run has recorded and found."""

    experiment: Experiment
    deployment: Deployment
    seed: int
    seconds: float
    records: list[CallRecord] = field(default_factory=list)
    trainers: list[tuple[Trainer, TrainerFindings]] = field(default_factory=list)
    control: ControlFindings = field(default_factory=ControlFindings)
    config_in_force_s: float | None = None
    nodes: dict[str, dict[str, Any]] = field(default_factory=dict)
    faults: list[FaultRecord] = field(default_factory=list)
    commands: list[CommandRecord] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)
    generator_late_s: float = 0.0
    started: float = 0.0


def build_report(result: RunResult) -> dict[str, Any]:
    """Return the report as JSON values."""
    return {
        "experiment": result.experiment.name,
        "deployment": result.deployment.name,
        "seed": result.seed,
        "seconds": result.seconds,
        "callers": _callers(result),
        "trainers": {
            trainer.spec.name: _trainer(result, trainer, findings)
            for trainer, findings in result.trainers
        },
        "control": {
            "config_in_force_s": _rounded(result.config_in_force_s),
            "leaving_to_last_new_work_s": _rounded(result.control.leaving_to_last_new_work_s),
            "crash_to_last_wrong_send_s": _rounded(result.control.crash_to_last_wrong_send_s),
            "in_flight_cut": result.control.in_flight_cut,
        },
        "nodes": result.nodes,
        "violations": [violation.as_dict() for violation in result.violations],
        "details": _details(result),
    }


def write_report(report: dict[str, Any], folder: Path) -> Path:
    """Write ``report.json``."""
    path = folder / "report.json"
    path.write_text(json.dumps(report, indent=2) + "\n")
    return path


def write_records(records: Sequence[CallRecord], folder: Path) -> Path:
    """Write one JSON line for each caller's request."""
    path = folder / "calls.jsonl"
    with path.open("w") as file:
        for record in records:
            file.write(json.dumps(record.as_dict()) + "\n")
    return path


def _callers(result: RunResult) -> dict[str, Any]:
    by_class: dict[str, list[CallRecord]] = defaultdict(list)
    for record in result.records:
        by_class[record.caller_class].append(record)
    violated: dict[tuple[ViolationKind, str], set[str]] = defaultdict(set)
    for violation in result.violations:
        violated[(violation.kind, violation.detail.partition(":")[0])].add(violation.subject)

    def count(name: str, *kinds: ViolationKind) -> int:
        return len(set().union(*(violated[(kind, name)] for kind in kinds)))

    report = {}
    for caller_class in result.experiment.callers:
        name = caller_class.name
        records = by_class[name]
        outcomes = [record.outcome for record in records]
        latencies = [r.latency_ms for r in records if r.outcome is Outcome.ANSWERED]
        report[name] = {
            "sent": len(records),
            "answered": outcomes.count(Outcome.ANSWERED),
            "not_run": outcomes.count(Outcome.NOT_RUN),
            "may_have_run": outcomes.count(Outcome.MAY_HAVE_RUN),
            "ran": outcomes.count(Outcome.RAN),
            "refused": outcomes.count(Outcome.REFUSED),
            "lost": count(name, ViolationKind.LOST),
            "doubled": count(name, ViolationKind.DOUBLED),
            "crossed": count(
                name,
                ViolationKind.CROSSED,
                ViolationKind.INCOMPLETE,
                ViolationKind.WRONG_TOKENS,
                ViolationKind.NEVER_RAN,
            ),
            "false_not_run": count(name, ViolationKind.FALSE_NOT_RUN),
            "p50_ms": _rounded(quantile(latencies, 0.5)),
            "p99_ms": _rounded(quantile(latencies, 0.99)),
            "p999_ms": _rounded(quantile(latencies, 0.999)),
        }
    return report


def _trainer(result: RunResult, trainer: Trainer, findings: TrainerFindings) -> dict[str, Any]:
    return {
        "idle_fraction": _rounded(trainer.time.idle_fraction),
        "idle_lower_bound": _rounded(_idle_lower_bound(result.deployment, trainer)),
        "staleness_versions": {
            str(versions): count for versions, count in sorted(findings.staleness_versions.items())
        },
        "staleness_when_trained": {
            str(versions): count for versions, count in sorted(trainer.time.staleness.items())
        },
        "too_stale": findings.count(ViolationKind.SAMPLE_TOO_STALE),
        "missing": findings.count(ViolationKind.SAMPLE_MISSING),
        "duplicated": findings.count(ViolationKind.SAMPLE_DUPLICATED),
        "wrong_version": findings.count(ViolationKind.SAMPLE_WRONG_VERSION),
        "steps": len(trainer.steps),
        "samples": findings.samples,
        "tokens": findings.tokens,
        "errors": trainer.errors,
    }


def tokens_per_second(deployment: Deployment, model: str) -> float:
    """Return what the model's engines generate a second with full batches and no prefill."""
    total = 0.0
    for pool in deployment.models:
        if pool.name == model:
            options = {**_STAND_IN_DEFAULTS, **pool.options}
            running = float(options["max_running"])
            step_ms = float(options["base_ms"]) + float(options["per_sequence_ms"]) * running
            total += pool.engines * running * 1000.0 / step_ms
    return total


def _idle_lower_bound(deployment: Deployment, trainer: Trainer) -> float | None:
    """Idle fraction if all engines did nothing else, in full batches, without a pause.

    Training needs ``T`` and generation at full capacity ``G`` seconds; overlapped perfectly the
    steps take ``max(T, G)``, so that the trainer idles ``1 - T / max(T, G)``.
    """
    capacity = tokens_per_second(deployment, trainer.spec.model)
    if not trainer.time.steps or not capacity:
        return None
    generating = trainer.time.tokens / capacity
    training = trainer.spec.train_ms / 1000.0 * trainer.time.steps
    return max(0.0, 1.0 - training / max(training, generating, 1e-9))


def _details(result: RunResult) -> dict[str, Any]:
    codes: dict[str, int] = defaultdict(int)
    for record in result.records:
        for attempt in record.attempts:
            if attempt.code or attempt.error:
                codes[attempt.code or "transport"] += 1
    return {
        "error_codes_of_attempts": dict(sorted(codes.items())),
        "generator_late_s": _rounded(result.generator_late_s),
        "faults": [
            {
                "kind": str(fault.spec.kind),
                "target": fault.spec.target,
                "at_s": _rounded(fault.began - result.started),
                "undone_s": _rounded(fault.undone - result.started) if fault.undone else None,
                "error": fault.error,
            }
            for fault in result.faults
        ],
        "commands": [
            {"command": command.command, "status": command.status, "node": command.node}
            for command in result.commands
        ],
    }


def _rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 4)
