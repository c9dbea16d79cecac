"""Compares placement by load with round robin and random, with heavy-tailed lengths.

``python -m runkeel_lab.measurements.placement [--seconds 75] [--out out/placement]``

The policies run one after the other on fresh copies of one deployment, with the same arrivals,
lengths and nodes chosen by the callers. What is compared is the wait: the time to the first token
of a model, and the latency less the request's own service time of an application. The p99 of the
whole latency lies where the hundredth of requests with 20 times the median begins; no placement
can make those shorter.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import math  # noqa: E402
import os  # noqa: E402
from collections import Counter  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import Any  # noqa: E402

from runkeel.api.configuration import ObjectKind  # noqa: E402
from runkeel.api.placement import PlacementPolicy  # noqa: E402
from runkeel_lab.deployment import (  # noqa: E402
    ConfigurationObject,
    Deployment,
    ModelPool,
    ServicePool,
    Zone,
)
from runkeel_lab.experiment import Experiment  # noqa: E402
from runkeel_lab.load.arrivals import LengthDistribution  # noqa: E402
from runkeel_lab.load.classes import CallerClass, CallKind  # noqa: E402
from runkeel_lab.load.plans import plan_calls  # noqa: E402
from runkeel_lab.load.records import Outcome  # noqa: E402
from runkeel_lab.runner import fresh_folder, run_experiment  # noqa: E402
from runkeel_lab.statistics import quantile  # noqa: E402

ENGINES = 6
SERVERS = 6
SLOTS = 8
"""Requests at once of each engine and each server."""
UTILISATION = 0.7
TOKENS = LengthDistribution(median=64.0, sigma=0.5, tail_fraction=0.01, tail_factor=20.0)
SERVICE_MS = LengthDistribution(median=200.0, sigma=0.5, tail_fraction=0.01, tail_factor=20.0)
TOKEN_MS = 8.7
"""A step with 5.6 sequences and its share of prefill, by the emulated engine's defaults."""
WARM_UP_SECONDS = 15.0
"""Left out: the longest generations run for 11 s, so that load has not settled before."""
DEADLINE_MS = 60_000
"""Long enough that nothing is refused: each policy runs the same requests."""
QUANTILES = (0.5, 0.99, 0.999)


def placement_deployment(policy: PlacementPolicy) -> Deployment:
    """Return three zones with a node, two engines and two servers each."""
    return Deployment(
        name="placement",
        zones=tuple(Zone(name=name) for name in ("zone-a", "zone-b", "zone-c")),
        models=(ModelPool(name="drafts", engines=ENGINES, options={"max_running": SLOTS}),),
        services=(ServicePool(name="ledger", servers=SERVERS, options={"max_concurrency": SLOTS}),),
        objects=(
            ConfigurationObject(
                kind=ObjectKind.MODEL, name="drafts", spec={"max_in_flight_per_backend": SLOTS}
            ),
            ConfigurationObject(
                kind=ObjectKind.SERVICE,
                name="ledger",
                # Hedges would hide what the first choice is worth.
                spec={"max_in_flight_per_backend": SLOTS, "hedge_quantile": 1.0},
            ),
        ),
        data_nodes=0,
        node_settings={"requests": {"placement": str(policy)}},
    )


def caller_classes() -> tuple[CallerClass, ...]:
    """Return callers that use the engines and the servers to :data:`UTILISATION`."""
    token_rate = ENGINES * SLOTS * 1_000 / TOKEN_MS
    drafts = CallerClass(
        name="drafts",
        kind=CallKind.DRAFT_STREAM,
        pool="drafts",
        rate=UTILISATION * token_rate / _mean(TOKENS),
        deadline_ms=DEADLINE_MS,
        attempts=1,
        tokens=TOKENS,
    )
    lookups = CallerClass(
        name="lookups",
        kind=CallKind.LOOKUP,
        pool="ledger",
        rate=UTILISATION * SERVERS * SLOTS * 1_000 / _mean(SERVICE_MS),
        deadline_ms=DEADLINE_MS,
        attempts=1,
        service_ms=SERVICE_MS,
    )
    return drafts, lookups


def main() -> None:
    """Run the three policies; print and write one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=75.0, help="of each policy, with warm-up")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", type=Path, default=Path("out/placement"))
    arguments = parser.parse_args()
    out = fresh_folder(arguments.out)
    report: dict[str, Any] = {
        "seconds": arguments.seconds,
        "seed": arguments.seed,
        "policies": {
            str(policy): _run(policy, out, arguments.seed, arguments.seconds)
            for policy in PlacementPolicy
        },
    }
    report["wait_p99_lower_by"] = _gains(report["policies"])
    (out / "placement.json").write_text(json.dumps(report, indent=1))
    print(json.dumps(report, indent=1))


def _mean(lengths: LengthDistribution) -> float:
    body = lengths.median * math.exp(lengths.sigma**2 / 2)
    tail = lengths.median * lengths.tail_factor
    return (1 - lengths.tail_fraction) * body + lengths.tail_fraction * tail


def _run(policy: PlacementPolicy, out: Path, seed: int, seconds: float) -> dict[str, Any]:
    classes = caller_classes()
    experiment = Experiment(name=str(policy), deployment="", seconds=seconds, callers=classes)
    load_before = os.getloadavg()[0]
    folder = out / str(policy)
    report = run_experiment(experiment, placement_deployment(policy), folder, seed, seconds)
    lines = (folder / "calls.jsonl").read_text().splitlines()
    records = [json.loads(line) for line in lines]
    figures: dict[str, Any] = {
        "load_average": [round(load_before, 1), round(os.getloadavg()[0], 1)],
        "violations": len(report["violations"]),
        "generator_late_s": round(report.get("generator_late_s", 0.0), 3),
    }
    for caller_class in classes:
        own = [each for each in records if each["caller_class"] == caller_class.name]
        figures[caller_class.name] = _figures(caller_class, own, seed, seconds)
    return figures


def _figures(
    caller_class: CallerClass, records: list[dict[str, Any]], seed: int, seconds: float
) -> dict[str, Any]:
    plan = {call.nonce: call for call in plan_calls(caller_class, seed, seconds)}
    settled = [each for each in records if plan[each["nonce"]].at_seconds >= WARM_UP_SECONDS]
    answered = [each for each in settled if each["outcome"] == Outcome.ANSWERED]
    if caller_class.kind.is_model:
        waits = [each["first_token_ms"] for each in answered]
    else:
        waits = [
            each["latency_ms"] - float(plan[each["nonce"]].headers["X-Emulated-Ms"])
            for each in answered
        ]
    return {
        "outcomes": Counter(each["outcome"] for each in settled),
        "latency_ms": _quantiles([each["latency_ms"] for each in answered]),
        "wait_ms": _quantiles(waits),
        "wait_mean_ms": round(sum(waits) / max(1, len(waits)), 1),
    }


def _quantiles(values: list[float]) -> dict[str, float]:
    return {f"p{100 * each:g}": round(quantile(values, each) or 0.0, 1) for each in QUANTILES}


def _gains(policies: dict[str, Any]) -> dict[str, dict[str, float]]:
    """Return by which fraction the p99 of the wait is lower than with each baseline."""
    by_load = policies[PlacementPolicy.LEAST_LOADED]
    return {
        caller_class.name: {
            baseline: round(
                1 - _wait_p99(by_load, caller_class) / _wait_p99(policies[baseline], caller_class),
                3,
            )
            for baseline in (PlacementPolicy.ROUND_ROBIN, PlacementPolicy.RANDOM)
        }
        for caller_class in caller_classes()
    }


def _wait_p99(figures: dict[str, Any], caller_class: CallerClass) -> float:
    return max(1e-9, figures[caller_class.name]["wait_ms"]["p99"])


if __name__ == "__main__":
    main()
