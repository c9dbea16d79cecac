"""What the decision log costs: lines, bytes and processor time of a plain request.

Run by ``python -m runkeel_lab.measurements.decision_log [--requests N]``. The same requests pass
through an edge node three times: without a log, with one whose reader takes everything, and with
one whose reader takes nothing. Processor time is that of the whole process: node, server, caller.
"""

from __future__ import annotations

import contextlib
import os
import sys
import time
from dataclasses import dataclass

import defopt
from gevent import monkey

monkey.patch_all()

import gevent  # noqa: E402  (the standard library must be patched first)
from loguru import logger  # noqa: E402

from runkeel.backends.http_connection import HttpConnectionPool, OutgoingRequest  # noqa: E402
from runkeel.decision_log import configure_decision_log  # noqa: E402
from runkeel_lab.users_platform.deployment import COUNT_PREFIX, HOST, Deployment  # noqa: E402

_CALL_SECONDS = 5.0
_READ_BYTES = 1 << 20
_MICROSECONDS = 1e6


@dataclass(frozen=True, slots=True)
class _Cost:
    """Per request."""

    processor_us: float
    lines: float = 0.0
    bytes: float = 0.0


def measure_decision_log(*, requests: int = 1_000) -> None:
    """Print the cost of the log for each kind of reader.

    :param requests: how many are sent for each.
    """
    logger.remove()
    deployment = Deployment(edges=1, disks=1, engines=1, applications=1)
    deployment.applications[0].work_seconds = 0.0
    deployment.start()
    try:
        deployment.wait_ready()
        _run(deployment, requests)
        for name, measure in (
            ("no log", _without_log),
            ("log, read", _with_reader),
            ("log, never read", _without_reader),
        ):
            cost = measure(deployment, requests)
            print(
                f"{name}: {cost.processor_us:.0f} us of processor time a request,"
                f" {cost.lines:.2f} lines, {cost.bytes:.0f} bytes"
            )
    finally:
        deployment.stop()


def _without_log(deployment: Deployment, requests: int) -> _Cost:
    logger.remove()
    return _Cost(_run(deployment, requests))


def _with_reader(deployment: Deployment, requests: int) -> _Cost:
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    taken = bytearray()

    def read() -> None:
        while True:
            with contextlib.suppress(BlockingIOError):
                taken.extend(os.read(reader, _READ_BYTES))
            gevent.sleep(0.005)

    task = gevent.spawn(read)
    configure_decision_log("edge-0", "a", writer)
    processor_us = _run(deployment, requests)
    gevent.sleep(0.05)
    task.kill()
    logger.remove()
    os.close(reader)
    os.close(writer)
    return _Cost(processor_us, taken.count(b"\n") / requests, len(taken) / requests)


def _without_reader(deployment: Deployment, requests: int) -> _Cost:
    reader, writer = os.pipe()
    configure_decision_log("edge-0", "a", writer)
    processor_us = _run(deployment, requests)
    logger.remove()
    os.close(reader)
    os.close(writer)
    return _Cost(processor_us)


def _run(deployment: Deployment, requests: int) -> float:
    """Send requests one after another; returns microseconds of processor time for each."""
    pool = HttpConnectionPool(deployment.node("edge-0").frontend_address)
    started = time.process_time()
    for number in range(requests):
        headers = [("Attempt-Id", f"g{number}"), ("Deadline-Ms", "5000")]
        request = OutgoingRequest("POST", f"{COUNT_PREFIX}x", headers, b"rice", host=HOST)
        answer = pool.request(request, time.monotonic() + _CALL_SECONDS)
        if answer.status != 200:
            raise ValueError(f"status {answer.status}")
    spent = time.process_time() - started
    pool.close()
    return spent / requests * _MICROSECONDS


if __name__ == "__main__":
    sys.exit(defopt.run(measure_decision_log))
