"""Runs an experiment: deployment, load, trainers, faults, verification and report."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import gevent
from rich.progress import Progress, TextColumn

from runkeel.api.configuration import ModelSpec
from runkeel_lab.configuration_monitor import ConfigurationMonitor
from runkeel_lab.deployment import Deployment, load_deployment
from runkeel_lab.experiment import Experiment, load_experiment
from runkeel_lab.faults import FaultRunner
from runkeel_lab.journals import Journals
from runkeel_lab.launcher import EmulatedDeployment
from runkeel_lab.load.generator import LoadGenerator
from runkeel_lab.monitor import ResourceMonitor
from runkeel_lab.operators import OperatorClient
from runkeel_lab.plots import write_plots
from runkeel_lab.report import RunResult, build_report, write_records, write_report
from runkeel_lab.summary import print_summary
from runkeel_lab.trainer import Trainer
from runkeel_lab.verify_callers import CallerVerifier
from runkeel_lab.verify_configuration import accepted_changes, verify_configuration
from runkeel_lab.verify_control import verify_control, verify_races
from runkeel_lab.verify_samples import verify_trainer

SETTLE_SECONDS = 3.0
"""Between the nodes' readiness and the load: the machine list and load reports lag."""
_DEPLOY_RETRY_SECONDS = 900.0
"""A trainer's operator tries on through an outage of the store."""


class ExperimentRun:
    """One run of one experiment on a deployment that is up."""

    def __init__(
        self,
        experiment: Experiment,
        deployment: EmulatedDeployment,
        seed: int,
        seconds: float,
    ) -> None:
        self.result = RunResult(experiment, deployment.deployment, seed, seconds)
        self._running = deployment
        self._operator = OperatorClient(deployment.targets())
        self._faults = FaultRunner(deployment, self._operator)
        self._configuration = ConfigurationMonitor(deployment)
        self._generator = LoadGenerator(
            experiment.callers,
            deployment.targets(),
            deployment.node_zones(),
            deployment.deployment.client_delay_ms / 1000.0,
            seed,
            seconds,
        )
        self._trainers = [
            Trainer(spec, deployment.targets(), self._publish, seed) for spec in experiment.trainers
        ]

    def run(self) -> RunResult:
        """Run everything and verify."""
        result = self.result
        monitor = ResourceMonitor(self._running)
        monitor.start()
        self._configuration.start()
        result.started = time.monotonic()
        until = result.started + result.seconds
        tasks = [
            gevent.spawn(self._generator.run),
            gevent.spawn(self._faults.run, result.experiment.faults, result.started),
            *(
                gevent.spawn(trainer.run, until, trainer.spec.finish_seconds)
                for trainer in self._trainers
            ),
        ]
        progress = gevent.spawn(self._show_progress)
        try:
            gevent.joinall(tasks, raise_error=True)
        finally:
            gevent.killall([*tasks, progress])
            monitor.stop()
            self._configuration.stop()
        result.nodes = {node: usage.as_dict() for node, usage in monitor.usage.items()}
        return result

    def verify(self) -> None:
        """Compare what was recorded with the stand-ins' journals, after the deployment's end."""
        result = self.result
        journals = Journals.read(self._running.folder / "journals")
        backends = [backend.id for backend in self._running.plan.backends()]
        result.records = sorted(self._generator.records, key=lambda record: record.arrival)
        result.generator_late_s = self._generator.late_seconds
        result.faults = self._faults.records
        result.commands = self._operator.records
        verifier = CallerVerifier(
            journals.executions(backends), self._running.deployment.configured_pools()
        )
        result.violations = verifier.verify(result.records)
        for trainer in self._trainers:
            bound = self._staleness_bound(trainer.spec.model)
            findings = verify_trainer(trainer, lambda _, bound=bound: bound)
            result.trainers.append((trainer, findings))
            result.violations += findings.violations
        result.control = verify_control(result.faults, journals, result.records)
        result.violations += result.control.violations
        result.violations += verify_races(self._faults.races)
        changes = accepted_changes(journals, result.started)
        configuration = verify_configuration(self._configuration.views, changes)
        result.config_in_force_s = configuration.in_force_s
        result.violations += configuration.violations

    def _staleness_bound(self, model: str) -> int:
        for entry in self._running.deployment.objects:
            if entry.kind == "model" and entry.name == model:
                return ModelSpec.model_validate(entry.spec).max_staleness_versions
        return ModelSpec().max_staleness_versions

    def _publish(self, model: str, version: int) -> None:
        """Publish new weights and order their deployment, as the trainer's operator would."""
        self._running.publish_weights(model, version)
        text = f"deploy model {model} version {version}"
        gevent.spawn(
            self._operator.command, text, node_number=version, retry_seconds=_DEPLOY_RETRY_SECONDS
        )

    def _show_progress(self) -> None:
        with Progress(*Progress.get_default_columns(), TextColumn("{task.fields[state]}")) as bar:
            total = max(1, self._generator.planned)
            task = bar.add_task("calls", total=total, state="")
            while True:
                steps = sum(len(trainer.steps) for trainer in self._trainers)
                done = len(self._generator.records)
                bar.update(task, completed=done, state=f"{done} calls, {steps} steps")
                gevent.sleep(0.5)


def scaled_experiment(experiment: Experiment, scale: float) -> Experiment:
    """Return the experiment with the callers' rates multiplied."""
    callers = tuple(
        each.model_copy(update={"rate": each.rate * scale}) for each in experiment.callers
    )
    return experiment.model_copy(update={"callers": callers})


def deployment_of(experiment: Experiment, experiment_path: Path, scale: float) -> Deployment:
    """Return the experiment's deployment with its overrides and the scale applied."""
    deployment = load_deployment(experiment_path.parent / experiment.deployment)
    overrides = experiment.deployment_overrides
    if overrides:
        deployment = Deployment.model_validate({**deployment.model_dump(), **overrides})
    return deployment if scale == 1.0 else deployment.scaled(scale)


def run_experiment(
    experiment: Experiment, deployment: Deployment, folder: Path, seed: int, seconds: float
) -> dict[str, Any]:
    """Run an experiment; write and return its report."""
    with EmulatedDeployment(deployment, folder, seed) as running:
        gevent.sleep(SETTLE_SECONDS)
        run = ExperimentRun(experiment, running, seed, seconds)
        run.run()
    run.verify()
    report = build_report(run.result)
    write_report(report, folder)
    write_records(run.result.records, folder)
    write_plots(run.result, folder)
    return report


def run_experiment_file(path: Path, out: Path, seconds: float, seed: int, scale: float) -> bool:
    """Run an experiment file and print its summary; return whether nothing was violated."""
    experiment = scaled_experiment(load_experiment(path), scale)
    deployment = deployment_of(experiment, path, scale)
    folder = fresh_folder(out)
    report = run_experiment(
        experiment, deployment, folder, seed or experiment.seed, seconds or experiment.seconds
    )
    print_summary(report)
    print(f"report: {folder / 'report.json'}")
    return not report["violations"]


def fresh_folder(out: Path) -> Path:
    """Return ``out``, or a numbered one beside it when ``out`` holds an earlier run."""
    folder, number = out, 1
    while folder.exists() and any(folder.iterdir()):
        number += 1
        folder = out.with_name(f"{out.name}-{number}")
    folder.mkdir(parents=True, exist_ok=True)
    return folder
