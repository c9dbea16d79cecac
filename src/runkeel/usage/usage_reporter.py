"""Sends a node's usage counts to the coordinator shortly after they change."""

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

SEND_DELAY_SECONDS = 0.1
"""Delay between a change and sending it; unsent counts are lost if the node crashes."""

CALL_TIMEOUT_SECONDS = 0.6
"""Timeout of a call to the coordinator."""

RETRY_DELAY_SECONDS = 0.25
"""Delay before counts that the coordinator did not accept are sent again."""

WINDOW_END_DELAY_SECONDS = 0.1
"""Delay after a window's end before a recently active node reports its counts as complete."""

ACTIVE_WINDOWS = 3
"""A node without counts in this many recent windows sends no updates."""


class UsageReporter:
    """Task that sends the coordinator the counts that it has not acknowledged.

    Args:
        source: unique name of this process; the counts of different sources are added up.
        coordinator: returns the coordinator as known to this node, which may be this node itself.
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
        self._acknowledged_epoch = 0
        self._acknowledged: dict[int, dict[str, int]] = {}
        self._acknowledged_complete_before = 0.0
        self._send_delay = SEND_DELAY_SECONDS
        self._failing = False
        self._task = BackgroundTask(self._run)

    def start(self) -> None:
        self._task.start()

    def stop(self) -> None:
        self._task.stop()

    def flush(self) -> None:
        """Send unacknowledged counts before this node stops."""
        target = self._coordinator()
        if target is not None and self._unacknowledged(target):
            self._send(target)

    def _run(self) -> None:
        while True:
            self._meter.changed.wait(self._seconds_to_window_end())
            self._meter.changed.clear()
            gevent.sleep(self._send_delay)
            target = self._coordinator()
            if target is None or not self._update_due(target):
                continue
            if not self._send(target):
                gevent.sleep(RETRY_DELAY_SECONDS)
                self._meter.changed.set()

    def _seconds_to_window_end(self) -> float:
        seconds = self._meter.window_seconds
        return seconds - self._meter.now() % seconds + WINDOW_END_DELAY_SECONDS

    def _update_due(self, target: Coordinator) -> bool:
        """Return whether to send unacknowledged counts, or that ended windows are complete."""
        if self._unacknowledged(target):
            return True
        current = self._meter.window_of(self._meter.now())
        recent = any(one >= current - ACTIVE_WINDOWS for one in self._meter.windows())
        return recent and self._meter.window_of(self._acknowledged_complete_before) < current

    def _unacknowledged(self, target: Coordinator) -> dict[int, dict[str, int]]:
        """Return the windows with counts that the coordinator has not acknowledged."""
        acknowledged = self._acknowledged if target.epoch == self._acknowledged_epoch else {}
        return {
            one: counts
            for one, counts in self._meter.windows().items()
            if acknowledged.get(one) != counts
        }

    def _send(self, target: Coordinator) -> bool:
        unacknowledged = self._unacknowledged(target)
        complete = self._meter.complete_before
        windows = [UsageWindow(number, counts) for number, counts in sorted(unacknowledged.items())]
        message = UsageCounts(
            self._shard, target.epoch, self._source, windows, int(complete * 1000)
        )
        started = steady_seconds()
        try:
            reply = self._network.call(
                target.node_id,
                MessageType.USAGE_COUNTS,
                message,
                UsageCountsReply,
                CALL_TIMEOUT_SECONDS,
            )
        except RunkeelError as error:
            self._on_failure(target, str(error.code))
            return False
        if not reply.taken:
            self._on_failure(target, "not_coordinator")
            return False
        if target.epoch != self._acknowledged_epoch:
            self._acknowledged_epoch, self._acknowledged = target.epoch, {}
        self._acknowledged.update(unacknowledged)
        self._acknowledged_complete_before = complete
        self._send_delay = max(SEND_DELAY_SECONDS, reply.pause_ms / 1000.0)
        if self._failing:
            self._failing = False
            logger.info(
                "usage counts are acknowledged again",
                code="usage_told",
                ms=int((steady_seconds() - started) * 1000),
            )
        return True

    def _on_failure(self, target: Coordinator, reason: str) -> None:
        if not self._failing:
            logger.info(
                "usage counts not acknowledged by the coordinator",
                code="usage_untold",
                coordinator=target.node_id,
                epoch=target.epoch,
                windows=len(self._unacknowledged(target)),
                reason=reason,
            )
        self._failing = True
