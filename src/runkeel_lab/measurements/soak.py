"""Measures whether a node's memory stays flat under load.

``python -m runkeel_lab.measurements.soak EXPERIMENT.toml [--seconds 600] [--out out/soak]``
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402
import numpy  # noqa: E402
import psutil  # noqa: E402

from runkeel_lab.experiment import load_experiment  # noqa: E402
from runkeel_lab.launcher import EmulatedDeployment  # noqa: E402
from runkeel_lab.runner import SETTLE_SECONDS, ExperimentRun, deployment_of  # noqa: E402

SAMPLE_SECONDS = 5.0
WARM_UP_FRACTION = 0.3
"""Memory of the first part of the run is not judged: tables and pools fill up then."""
_MEGABYTE = 1e6


def main() -> None:
    """Run an experiment for long and print each node's memory over time."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("experiment", type=Path)
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--out", type=Path, default=Path("out/soak"))
    arguments = parser.parse_args()
    experiment = load_experiment(arguments.experiment)
    deployment = deployment_of(experiment, arguments.experiment, 1.0)
    series: dict[str, list[tuple[float, float]]] = {}
    with EmulatedDeployment(deployment, arguments.out, experiment.seed) as running:
        gevent.sleep(SETTLE_SECONDS)
        sampler = gevent.spawn(_sample, running, series)
        run = ExperimentRun(experiment, running, experiment.seed, arguments.seconds)
        run.run()
        sampler.kill()
    run.verify()
    report = {
        "seconds": arguments.seconds,
        "calls": len(run.result.records),
        "violations": len(run.result.violations),
        "nodes": {node: _judge(samples) for node, samples in series.items()},
    }
    (arguments.out / "soak.json").write_text(json.dumps({**report, "series": series}))
    print(json.dumps(report, indent=1))


def _sample(running: EmulatedDeployment, series: dict[str, list[tuple[float, float]]]) -> None:
    started = time.monotonic()
    processes = {
        node.id: psutil.Process(running.processes[node.id].pid) for node in running.plan.nodes
    }
    while True:
        for node_id, process in processes.items():
            point = (time.monotonic() - started, process.memory_info().rss / _MEGABYTE)
            series.setdefault(node_id, []).append(point)
        gevent.sleep(SAMPLE_SECONDS)


def _judge(samples: list[tuple[float, float]]) -> dict[str, float]:
    kept = numpy.array(samples[int(WARM_UP_FRACTION * len(samples)) :])
    slope = float(numpy.polyfit(kept[:, 0], kept[:, 1], 1)[0])
    return {
        "start_mb": round(samples[0][1], 1),
        "after_warm_up_mb": round(float(kept[0, 1]), 1),
        "end_mb": round(samples[-1][1], 1),
        "slope_mb_per_minute": round(60 * slope, 3),
    }


if __name__ == "__main__":
    main()
