"""Asks other nodes whether they reach the coordinator, before this node replaces it."""

from __future__ import annotations

from collections.abc import Iterable

import gevent

from runkeel.errors import RunkeelError
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.jobs.ttypes import CoordinatorWitness, CoordinatorWitnessReply
from runkeel.wire.network import PeerNetwork


def reached_by_others(
    network: PeerNetwork, shard: str, epoch: int, node_ids: Iterable[str], timeout_seconds: float
) -> bool:
    """Query nodes concurrently; returns whether any of them reports that the coordinator serves.

    Args:
        epoch: epoch of the coordinator; nodes also report coordinators of later epochs.
        timeout_seconds: timeout of all queries together.
    """
    message = CoordinatorWitness(shard, epoch)
    queries = [
        gevent.spawn(_query, network, node_id, message, timeout_seconds) for node_id in node_ids
    ]
    gevent.joinall(queries, timeout=timeout_seconds)
    return any(task.value for task in queries)


def _query(
    network: PeerNetwork, node_id: str, message: CoordinatorWitness, timeout_seconds: float
) -> bool:
    try:
        reply = network.call(
            node_id,
            MessageType.COORDINATOR_WITNESS,
            message,
            CoordinatorWitnessReply,
            timeout_seconds,
        )
    except RunkeelError:
        return False
    return bool(reply.serving)
