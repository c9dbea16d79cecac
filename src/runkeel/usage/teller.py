"""Tells a node's counts to the coordinator, soon after they change."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from loguru import logger

from runkeel.background_task import BackgroundTask
from runkeel.clock import steady_seconds
from runkeel.coordination.coordinator_document import Coordinator
from runkeel.errors import RunkeelError
from runkeel.usage.meter import UsageMeter
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.jobs.ttypes import UsageCounts, UsageCountsReply, UsageWindow
from runkeel.wire.network import PeerNetwork

GATHER_SECONDS = 0.1
"""Counts are told so soon after a change: what is not told yet is lost with the node."""

CALL_SECONDS = 0.6
"""Longest wait for the coordinator's answer."""

RETRY_SECONDS = 0.25
"""Pause before counts are told again that the coordinator did not take."""

CLOSING_SECONDS = 0.1
"""So long after a window's end a node that counted lately says that it has told all of it."""

RECENT_WINDOWS = 3
"""A node that counted nothing in so many windows says nothing."""


class UsageTeller:
    """One task that tells the coordinator what it lacks of this node's counts.

    Args:
        source: names this process: counts of another one are added to its own.
        coordinator: the coordinator as this node knows it, which may be this node.
    """

    def __init__(
        self,
        network: PeerNetwork,
        shard: str,
        source: str,
        meter: UsageMeter,
        coordinator: Callable[[], Coordinator | None],
    ) -> None:
        self._network = network
        self._shard = shard
        self._source = source
        self._meter = meter
        self._coordinator = coordinator
        self._told_epoch = 0
        self._told: dict[int, dict[str, int]] = {}
        self._told_complete = 0.0
        self._pause = GATHER_SECONDS
        self._failing = False
        self._task = BackgroundTask(self._run)

    def start(self) -> None:
        """Start to tell."""
        self._task.start()

    def stop(self) -> None:
        """Tell no more."""
        self._task.stop()

    def flush(self) -> None:
        """Tell what is not told yet: this node is about to stop."""
        known = self._coordinator()
        if known is not None and self._lacking(known):
            self._tell(known)

    def _run(self) -> None:
        while True:
            self._meter.news.wait(self._seconds_to_closing())
            self._meter.news.clear()
            gevent.sleep(self._pause)
            known = self._coordinator()
            if known is None or not self._anything_to_tell(known):
                continue
            if not self._tell(known):
                gevent.sleep(RETRY_SECONDS)
                self._meter.news.set()

    def _seconds_to_closing(self) -> float:
        seconds = self._meter.window_seconds
        return seconds - self._meter.now() % seconds + CLOSING_SECONDS

    def _anything_to_tell(self, known: Coordinator) -> bool:
        if self._lacking(known):
            return True
        current = self._meter.window_of(self._meter.now())
        recent = any(one >= current - RECENT_WINDOWS for one in self._meter.windows())
        return recent and self._meter.window_of(self._told_complete) < current

    def _lacking(self, known: Coordinator) -> dict[int, dict[str, int]]:
        """Return the windows of which the coordinator lacks something."""
        told = self._told if known.epoch == self._told_epoch else {}
        return {
            one: counts for one, counts in self._meter.windows().items() if told.get(one) != counts
        }

    def _tell(self, known: Coordinator) -> bool:
        lacking = self._lacking(known)
        complete = self._meter.complete_before
        windows = [UsageWindow(number, counts) for number, counts in sorted(lacking.items())]
        message = UsageCounts(self._shard, known.epoch, self._source, windows, int(complete * 1000))
        started = steady_seconds()
        try:
            reply = self._network.call(
                known.node_id, MessageType.USAGE_COUNTS, message, UsageCountsReply, CALL_SECONDS
            )
        except RunkeelError as error:
            self._note_failure(known, str(error.code))
            return False
        if not reply.taken:
            self._note_failure(known, "not_coordinator")
            return False
        if known.epoch != self._told_epoch:
            self._told_epoch, self._told = known.epoch, {}
        self._told.update(lacking)
        self._told_complete = complete
        self._pause = max(GATHER_SECONDS, reply.pause_ms / 1000.0)
        if self._failing:
            self._failing = False
            logger.info(
                "usage told again", code="usage_told", ms=int((steady_seconds() - started) * 1000)
            )
        return True

    def _note_failure(self, known: Coordinator, reason: str) -> None:
        if not self._failing:
            logger.info(
                "usage not told",
                code="usage_untold",
                coordinator=known.node_id,
                epoch=known.epoch,
                windows=len(self._lacking(known)),
                reason=reason,
            )
        self._failing = True
