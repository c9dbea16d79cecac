"""Asks other nodes whether they reach the coordinator, before one that does not replaces it."""

from __future__ import annotations

from collections.abc import Iterable

import gevent

from runkeel.errors import RunkeelError
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.jobs.ttypes import CoordinatorWitness, CoordinatorWitnessReply
from runkeel.wire.network import PeerNetwork


def reached_by_others(
    network: PeerNetwork, shard: str, epoch: int, node_ids: Iterable[str], seconds: float
) -> bool:
    """Ask nodes, all at once; True when one of them has an answer from the coordinator.

    Args:
        epoch: the coordinator's; a later one counts too.
        seconds: longest time to wait for the answers.
    """
    message = CoordinatorWitness(shard, epoch)
    asked = [gevent.spawn(_ask, network, node_id, message, seconds) for node_id in node_ids]
    gevent.joinall(asked, timeout=seconds)
    return any(task.value for task in asked)


def _ask(network: PeerNetwork, node_id: str, message: CoordinatorWitness, seconds: float) -> bool:
    try:
        reply = network.call(
            node_id, MessageType.COORDINATOR_WITNESS, message, CoordinatorWitnessReply, seconds
        )
    except RunkeelError:
        return False
    return bool(reply.serving)
