"""Time that an edge node adds to a plain request, against the same server called directly.

Run by ``python -m runkeel_lab.measurements.gateway [--requests N]``. Node, servers and caller share
one process, so the figures hold their processor time as well; a machine of its own adds less.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable

import defopt
from gevent import monkey

monkey.patch_all()

from loguru import logger  # noqa: E402  (the standard library must be patched first)

from runkeel.api.machines import Address  # noqa: E402
from runkeel.backends.http_connection import HttpConnectionPool, OutgoingRequest  # noqa: E402
from runkeel_lab.users_platform.deployment import COUNT_PREFIX, HOST, Deployment  # noqa: E402

_PAUSE_SECONDS = 0.005
_CALL_SECONDS = 5.0


def measure_gateway(*, requests: int = 500) -> None:
    """Print p50 and p99 of requests through an edge node and of direct ones, in ms.

    :param requests: how many of each.
    """
    logger.remove()
    deployment = Deployment(edges=1, disks=1, engines=1, applications=1)
    deployment.applications[0].work_seconds = 0.0
    deployment.start()
    try:
        deployment.wait_ready()
        through = _times(deployment.node("edge-0").frontend_address, requests)
        direct = _times(deployment.applications[0].address, requests)
    finally:
        deployment.stop()
    for name, times in (("through an edge node", through), ("direct", direct)):
        print(f"{name}: p50 {_quantile(times, 0.5):.2f} ms, p99 {_quantile(times, 0.99):.2f} ms")


def _times(address: Address, requests: int) -> list[float]:
    pool = HttpConnectionPool(address)
    send = _sender(pool)
    send(0)
    times = []
    for number in range(1, requests + 1):
        started = time.perf_counter()
        send(number)
        times.append((time.perf_counter() - started) * 1000.0)
        time.sleep(_PAUSE_SECONDS)
    pool.close()
    return sorted(times)


def _sender(pool: HttpConnectionPool) -> Callable[[int], None]:
    def send(number: int) -> None:
        headers = [("Attempt-Id", f"g{number}"), ("Deadline-Ms", "5000")]
        request = OutgoingRequest("POST", f"{COUNT_PREFIX}x", headers, b"rice", host=HOST)
        answer = pool.request(request, time.monotonic() + _CALL_SECONDS)
        if answer.status != 200:
            raise ValueError(f"status {answer.status}")

    return send


def _quantile(times: list[float], share: float) -> float:
    return times[min(len(times) - 1, int(len(times) * share))]


if __name__ == "__main__":
    sys.exit(defopt.run(measure_gateway))
