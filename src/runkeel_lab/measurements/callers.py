"""Measures the callers' path: added latency, and what one node on one core carries.

``python -m runkeel_lab.measurements.callers [--seconds 10] [--out out/callers]``
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import statistics  # noqa: E402
import time  # noqa: E402
from collections.abc import Callable  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402
import psutil  # noqa: E402

from runkeel.api.configuration import ObjectKind  # noqa: E402
from runkeel.api.machines import Address  # noqa: E402
from runkeel_lab.deployment import (  # noqa: E402
    ConfigurationObject,
    Deployment,
    ModelPool,
    ServicePool,
    Zone,
)
from runkeel_lab.launcher import EmulatedDeployment  # noqa: E402
from runkeel_lab.measurements.keep_alive import KeepAliveConnection  # noqa: E402

CONNECTIONS = 16
STREAMS = 64
TOKENS_PER_STREAM = 400
_LOOKUP = "/v1/services/ledger/lookup/shelf-1"
_DIRECT_LOOKUP = "/lookup/shelf-1"
_COMPLETIONS = "/v1/models/allocation/completions"
_WARM_UP_SECONDS = 1.0


def one_node_deployment() -> Deployment:
    """Return one zone with one node, without emulated delays."""
    wide = {"max_in_flight_per_backend": 1_000, "max_queue_per_backend": 10_000}
    return Deployment(
        name="one-node",
        zone_delay_ms=0.0,
        client_delay_ms=0.0,
        zones=(Zone(name="zone-a"),),
        models=(
            ModelPool(
                name="allocation",
                engines=4,
                options={"base_ms": 2.0, "per_sequence_ms": 0.0, "tokens_per_event": 1},
            ),
        ),
        services=(ServicePool(name="ledger", servers=3, options={"service_ms": 0.0}),),
        objects=(
            ConfigurationObject(kind=ObjectKind.SERVICE, name="ledger", spec=wide),
            ConfigurationObject(kind=ObjectKind.MODEL, name="allocation", spec=wide),
            ConfigurationObject(
                kind=ObjectKind.MEMBER_LIMIT,
                name="default",
                spec={"requests_per_second": 1e6, "burst": 1_000_000, "max_in_flight": 10_000},
            ),
        ),
        data_nodes=0,
    )


def main() -> None:
    """Run all measurements and print one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--out", type=Path, default=Path("out/callers"))
    arguments = parser.parse_args()
    with EmulatedDeployment(one_node_deployment(), arguments.out) as deployment:
        node = deployment.plan.nodes[0]
        server = deployment.plan.applications[0].address
        process = psutil.Process(deployment.processes[node.id].pid)
        report = {
            "added_latency": added_latency(server, node.http, arguments.seconds),
            "short_requests": _with_cpu(
                process, lambda: short_requests(node.http, arguments.seconds)
            ),
            "streamed_events": _with_cpu(
                process, lambda: streamed_events(node.http, arguments.seconds)
            ),
        }
    (arguments.out / "callers.json").write_text(json.dumps(report, indent=1))
    print(json.dumps(report, indent=1))


def added_latency(server: Address, node: Address, seconds: float) -> dict[str, float]:
    """Compare lookups sent directly and through the node, in turn, one at a time; in ms."""
    direct = KeepAliveConnection(server)
    routed = KeepAliveConnection(node)
    samples: tuple[list[float], list[float]] = ([], [])
    deadline = time.monotonic() + _WARM_UP_SECONDS + seconds
    warm = time.monotonic() + _WARM_UP_SECONDS
    while time.monotonic() < deadline:
        moments = [time.perf_counter()]
        direct.get(_DIRECT_LOOKUP)
        moments.append(time.perf_counter())
        status = routed.get(_LOOKUP)
        moments.append(time.perf_counter())
        if status != 200:
            raise OSError(f"status {status}")
        if time.monotonic() > warm:
            samples[0].append(1_000 * (moments[1] - moments[0]))
            samples[1].append(1_000 * (moments[2] - moments[1]))
        gevent.sleep(0.002)
    return {
        "requests": len(samples[0]),
        "direct_p50_ms": _quantile(samples[0], 0.5),
        "direct_p99_ms": _quantile(samples[0], 0.99),
        "routed_p50_ms": _quantile(samples[1], 0.5),
        "routed_p99_ms": _quantile(samples[1], 0.99),
        "added_p50_ms": round(_quantile(samples[1], 0.5) - _quantile(samples[0], 0.5), 3),
        "added_p99_ms": round(_quantile(samples[1], 0.99) - _quantile(samples[0], 0.99), 3),
    }


def short_requests(node: Address, seconds: float) -> dict[str, float]:
    """Send lookups over some connections, each as soon as the last is answered."""
    answered = 0
    latencies: list[float] = []

    def run() -> None:
        nonlocal answered
        connection = KeepAliveConnection(node)
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            started = time.perf_counter()
            if connection.get(_LOOKUP) == 200:
                answered += 1
                latencies.append(1_000 * (time.perf_counter() - started))

    started = time.monotonic()
    gevent.joinall([gevent.spawn(run) for _ in range(CONNECTIONS)], raise_error=True)
    rate = answered / (time.monotonic() - started)
    return {"per_s": round(rate, 1), "p99_ms": _quantile(latencies, 0.99)}


def streamed_events(node: Address, seconds: float) -> dict[str, float]:
    """Keep some streamed completions running; one token an event."""
    events = 0
    body = json.dumps({"prompt": "draft", "max_tokens": TOKENS_PER_STREAM, "stream": True}).encode()

    def run() -> None:
        nonlocal events
        connection = KeepAliveConnection(node)
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            status, received = connection.stream(_COMPLETIONS, body)
            if status != 200:
                raise OSError(f"status {status}")
            events += received

    started = time.monotonic()
    gevent.joinall([gevent.spawn(run) for _ in range(STREAMS)], raise_error=True)
    return {"per_s": round(events / (time.monotonic() - started), 1)}


def _with_cpu(process: psutil.Process, measure: Callable[[], dict[str, float]]) -> dict[str, float]:
    before, started = process.cpu_times(), time.monotonic()
    result = measure()
    after, ended = process.cpu_times(), time.monotonic()
    used = after.user + after.system - before.user - before.system
    cores = used / (ended - started)
    result["node_cores"] = round(cores, 3)
    result["per_s_and_core"] = round(result["per_s"] / cores, 1)
    return result


def _quantile(values: list[float], fraction: float) -> float:
    ordered = sorted(values)
    if len(ordered) < 2:
        return round(statistics.fmean(ordered), 3)
    return round(ordered[min(len(ordered) - 1, int(fraction * len(ordered)))], 3)


if __name__ == "__main__":
    main()
