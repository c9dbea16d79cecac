"""Measures what stand-ins sharing one process cost.

Example::

    python -m runkeel_lab.standins.benchmark --engines 1 --streams 10 --base-ms 9
    python -m runkeel_lab.standins.benchmark --engines 5 --applications 3 --requests-per-second 400

The stand-ins run in a process of their own; the client's work is not counted.
"""

from __future__ import annotations

import sys

from gevent import monkey

monkey.patch_all()

import http.client  # noqa: E402  (the standard library must be patched first)
import json  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
from dataclasses import dataclass, field  # noqa: E402
from pathlib import Path  # noqa: E402

import defopt  # noqa: E402
import gevent  # noqa: E402
import psutil  # noqa: E402
from gevent.pool import Pool  # noqa: E402

from runkeel.api.machines import Address  # noqa: E402
from runkeel_lab.http_client import HttpClient, TransportError  # noqa: E402
from runkeel_lab.processes import ChildProcess  # noqa: E402
from runkeel_lab.statistics import quantile  # noqa: E402

MODEL = "model"
PROMPT_BYTES = 800
ENDLESS_TOKENS = 130_000
WARM_UP_SECONDS = 2.0
MAX_CLIENTS = 256


@dataclass(frozen=True, slots=True)
class Load:
    """What the benchmark runs.

    Attributes:
        streams: endless completions on each engine.
        requests_per_second: lookups over all applications together, evenly spaced.
    """

    engines: int
    applications: int
    streams: int
    requests_per_second: float
    tokens_per_event: int
    base_ms: float
    seconds: float


@dataclass(slots=True)
class Lookups:
    """Outcome of the lookups."""

    latencies_ms: list[float] = field(default_factory=list)
    failed: int = 0


def write_config(load: Load, folder: Path) -> Path:
    """Write the file of stand-ins and return its path."""
    lines = []
    for number in range(load.engines):
        options = (
            f"tokens_per_event = {load.tokens_per_event}, base_ms = {load.base_ms}, "
            f'journal = "{folder}/engine-{number}.jsonl"'
        )
        lines += ["[[standin]]", 'kind = "engine"', f'id = "engine-{number}"']
        lines += [f'pool = "{MODEL}"', f"options = {{ {options} }}"]
    for number in range(load.applications):
        options = f'max_concurrency = 64, journal = "{folder}/application-{number}.jsonl"'
        lines += ["[[standin]]", 'kind = "application"', f'id = "application-{number}"']
        lines += [f"options = {{ {options} }}"]
    path = folder / "standins.toml"
    path.write_text("\n".join(lines) + "\n")
    return path


def read_stream(address: Address, request_id: str) -> None:
    """Read a completion until it is cut."""
    connection = http.client.HTTPConnection(address.host, address.port)
    body = {
        "request_id": request_id,
        "model": MODEL,
        "prompt": request_id.ljust(PROMPT_BYTES, "x"),
        "max_tokens": ENDLESS_TOKENS,
    }
    try:
        connection.request("POST", "/v1/completions", json.dumps(body))
        response = connection.getresponse()
        while response.read1(65_536):
            pass
    except (OSError, http.client.HTTPException):
        return
    finally:
        connection.close()


def run_lookups(clients: list[HttpClient], load: Load, lookups: Lookups) -> None:
    """Send lookups at the load's rate, whether earlier ones are answered or not."""
    pool = Pool(MAX_CLIENTS)
    begin = time.monotonic()
    for number in range(int(load.seconds * load.requests_per_second)):
        gevent.sleep(max(0.0, begin + number / load.requests_per_second - time.monotonic()))
        pool.spawn(_look_up, clients[number % len(clients)], number, lookups)
    pool.join(timeout=WARM_UP_SECONDS)


def _look_up(client: HttpClient, number: int, lookups: Lookups) -> None:
    begin = time.monotonic()
    try:
        answer = client.request("GET", f"/lookup/{number}")
    except TransportError:
        lookups.failed += 1
        return
    lookups.failed += answer.status != 200 or answer.json()["key"] != str(number)
    lookups.latencies_ms.append((time.monotonic() - begin) * 1000)


def measure(load: Load, folder: Path) -> dict[str, object]:
    """Run the load once and return the figures."""
    arguments = ["-m", "runkeel_lab.standins.process", str(write_config(load, folder))]
    process = ChildProcess("standins", arguments, folder)
    process.start()
    try:
        ready = process.wait_ready()
        return _measure_running(load, ready["standins"], psutil.Process(process.pid))
    finally:
        process.terminate()
        process.wait_end()


def _measure_running(
    load: Load, standins: dict[str, dict[str, str]], process: psutil.Process
) -> dict[str, object]:
    addresses = {name: Address.parse(entry["address"]) for name, entry in standins.items()}
    clients = {name: HttpClient(address) for name, address in addresses.items()}
    engines = [name for name in addresses if name.startswith("engine")]
    applications = [client for name, client in clients.items() if name not in engines]
    for name in engines:
        for number in range(load.streams):
            gevent.spawn(read_stream, addresses[name], f"{name}-{number}")
    gevent.sleep(WARM_UP_SECONDS)
    lookups = Lookups()
    tokens = sum(_tokens(clients[name]) for name in engines)
    cpu_seconds, begin = _cpu_seconds(process), time.monotonic()
    if applications and load.requests_per_second:
        run_lookups(applications, load, lookups)
    gevent.sleep(max(0.0, begin + load.seconds - time.monotonic()))
    elapsed = time.monotonic() - begin
    cpu_percent = 100 * (_cpu_seconds(process) - cpu_seconds) / elapsed
    generated = sum(_tokens(clients[name]) for name in engines) - tokens
    return {
        "cpu_percent_of_a_core": round(cpu_percent, 2),
        "rss_mb": round(process.memory_info().rss / 1e6, 1),
        "tokens_per_second": round(generated / elapsed),
        "lookups_per_second": round(len(lookups.latencies_ms) / elapsed, 1),
        "lookups_failed": lookups.failed,
        "lookup_p50_ms": _rounded(quantile(lookups.latencies_ms, 0.5)),
        "lookup_p99_ms": _rounded(quantile(lookups.latencies_ms, 0.99)),
    }


def _rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 2)


def _tokens(engine: HttpClient) -> int:
    return engine.json("GET", "/fault/state")["tokens_generated"]


def _cpu_seconds(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


def main(
    *,
    engines: int = 1,
    applications: int = 0,
    streams: int = 10,
    requests_per_second: float = 0.0,
    tokens_per_event: int = 8,
    base_ms: float = 8.0,
    seconds: float = 20.0,
) -> None:
    """Measure stand-ins that share a process and print one JSON line.

    :param engines: engines in the process.
    :param applications: applications in the process, with their default service time.
    :param streams: endless completions on each engine.
    :param requests_per_second: lookups over all applications together.
    :param tokens_per_event: tokens that an engine joins in one event.
    :param base_ms: time of an engine's empty step.
    :param seconds: length of the measurement.
    """
    load = Load(
        engines, applications, streams, requests_per_second, tokens_per_event, base_ms, seconds
    )
    with tempfile.TemporaryDirectory() as folder:
        print(json.dumps(measure(load, Path(folder))))


if __name__ == "__main__":
    sys.exit(defopt.run(main))
