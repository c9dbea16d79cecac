"""What membership does once a second or less: forget, compare, and look for lost nodes."""

from __future__ import annotations

import random

from runkeel.api.machines import MemberStatus
from runkeel.membership import metrics
from runkeel.membership.datagrams import record_of
from runkeel.membership.digests import DigestMonitor
from runkeel.membership.loads import LoadTable
from runkeel.membership.notifier import Notifier
from runkeel.membership.synchronizer import Sender
from runkeel.membership.table import MemberTable
from runkeel.wire.generated.membership.ttypes import DatagramKind

PERIOD_SECONDS = 1.0
RECONNECT_SECONDS = 5.0
"""Interval at which a dead node of the zone is told so, in case it lives after all."""


class Housekeeper:
    """Runs the slow duties of a node's membership."""

    def __init__(
        self,
        sender: Sender,
        table: MemberTable,
        loads: LoadTable,
        digests: DigestMonitor,
        notifier: Notifier,
    ) -> None:
        self._sender = sender
        self._table = table
        self._loads = loads
        self._digests = digests
        self._notifier = notifier
        self._due_at = 0.0
        self._reconnect_at = 0.0

    def tick(self, now: float) -> None:
        """Do what is due."""
        if now < self._due_at:
            return
        self._due_at = now + PERIOD_SECONDS
        self._loads.drop_old(now)
        self._table.forget_gone(now)
        self._report_mismatch()
        if now >= self._reconnect_at:
            self._reconnect_at = now + RECONNECT_SECONDS * random.uniform(0.8, 1.2)
            self._greet_a_dead_node()

    def _report_mismatch(self) -> None:
        if self._notifier.mismatch_running:
            return
        differing = self._digests.take()
        if differing is not None and self._sender.is_live(differing):
            metrics.STATE_MISMATCHES.inc()
            self._notifier.report_mismatch(differing)

    def _greet_a_dead_node(self) -> None:
        dead = [
            member
            for member in self._table.all()
            if member.zone == self._sender.zone and member.status is MemberStatus.DEAD
        ]
        if dead:
            chosen = random.choice(dead)
            self._sender.send(DatagramKind.NEWS, [chosen], records=[record_of(chosen)])
