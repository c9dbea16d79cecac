"""Runs a deployment on loopback for manual experiments."""

from __future__ import annotations

import signal

from gevent import signal_handler
from gevent.event import Event
from loguru import logger

from runkeel_lab.users_platform.deployment import (
    COUNT_PREFIX,
    HOST,
    Deployment,
)

_SEED = 1


def run_until_stopped(edges: int, disks: int, engines: int, applications: int) -> None:
    """Start a deployment, print its addresses, and run it until SIGINT or SIGTERM."""
    logger.remove()
    deployment = Deployment(
        _SEED, edges=edges, disks=disks, engines=engines, applications=applications, metrics=True
    )
    stopped = Event()
    signal_handler(signal.SIGINT, stopped.set)
    signal_handler(signal.SIGTERM, stopped.set)
    deployment.start()
    try:
        deployment.wait_ready()
        print(_addresses(deployment), flush=True)
        stopped.wait()
    finally:
        deployment.stop()


def _addresses(deployment: Deployment) -> str:
    lines = [f"store         http://{deployment.store.address}"]
    for name in deployment.node_names:
        process = deployment.node(name)
        clients = ""
        if name in deployment.edge_names:
            clients = f"clients http://{process.frontend_address}, "
        lines.append(f"{name:13} {clients}operators http://{process.metrics_address}")
    edge = deployment.node(deployment.edge_names[0])
    lines += [
        "",
        "try:",
        f"  curl -X POST -H 'Host: {HOST}' -H 'Attempt-Id: 1' -H 'Deadline-Ms: 1500' "
        f"-d rice http://{edge.frontend_address}{COUNT_PREFIX}rice",
        f"  runkeel ctl 'show backends' --node http://{edge.metrics_address}",
        "",
        "Press Ctrl-C to stop.",
    ]
    return "\n".join(lines)
