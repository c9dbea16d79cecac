"""The node program: signals, logs and the process's life around one node."""

from __future__ import annotations

import gc
import json
import signal
import sys

import gevent
from loguru import logger

from runkeel.errors import RunkeelError
from runkeel.logs import configure_logs
from runkeel.node import Node
from runkeel.settings import Settings
from runkeel.wire.links import LinkPolicy


def run_node(settings: Settings, link_policy: LinkPolicy | None = None) -> int:
    """Run one node until SIGTERM or SIGINT; return the process's exit code."""
    configure_logs(settings.logs, settings.node.id, settings.node.zone)
    try:
        node = Node(settings, link_policy)
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, node.stop_requested.set)
        node.start()
    except OSError as error:
        print(f"cannot listen: {error}", file=sys.stderr)
        return 2
    except RunkeelError as error:
        print(f"cannot start: {error}", file=sys.stderr)
        return 2
    # What has been loaded so far lives for ever: keep it out of full collections, which would
    # stop the process for tens of milliseconds.
    gc.collect()
    gc.freeze()
    _print_ready_line(node)
    logger.info("node started", code="node_started")
    while not node.stop_requested.wait(timeout=1.0):
        continue
    logger.info("planned stop", code="node_stopping")
    clean = node.drain_and_stop(settings.limits.stop_timeout_s)
    logger.info("node stopped", code="node_stopped", clean=clean)
    return 0 if clean else 1


def _print_ready_line(node: Node) -> None:
    line = {
        "ready": True,
        "node": node.node_id,
        "http": str(node.http_address),
        "peer": str(node.peer_address),
        "gossip": str(node.gossip_address),
    }
    print(json.dumps(line), flush=True)
