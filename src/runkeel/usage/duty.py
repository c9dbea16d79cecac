"""The coordinator's part: gathers the nodes' counts, decides windows and reports them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.event import Event
from loguru import logger

from runkeel.api.documents import Document, DocumentConflictError, DocumentKind, DocumentStore
from runkeel.api.duties import DutyHolder, DutyPlatform, UsageReport, UsageSettings
from runkeel.clock import steady_seconds
from runkeel.coordination.order_lease import OrderLease
from runkeel.errors import RunkeelError
from runkeel.metrics import USAGE_REPORTS
from runkeel.usage.ledger import UsageLedger, WindowSummary
from runkeel.wire.generated.jobs.ttypes import UsageCounts, UsageCountsReply

CHECKPOINT_SECONDS = 0.5
"""New counts stand in the store so soon: they are lost only with their node and the coordinator.

At the price of a call to the store every half second while there are requests.
"""

CHECKPOINT_BYTES_PER_SECOND = 200_000
"""A large ledger is written less often: the coordinator's link and the store bear other calls."""

DECISION_SHARE = 0.5
"""A window is decided so far into the time after which its report would be late, at the latest.

A node that was cut off has until then to tell its counts; the rest is for a new holder, who may
have to wait out the lease of the one before.
"""

SETTLED_SECONDS = 0.3
"""A window is decided no sooner than so long after its end."""

EXPECTED_WINDOWS = 3
"""A source that told something so few windows ago is waited for."""

REPORT_SECONDS = 1.0
"""Longest wait for the platform's answer to a report."""

REPORT_RETRY_SECONDS = 0.3
"""Pause before a report is tried again; far below the platform's rate of duty calls."""

STORE_RETRY_SECONDS = 0.2
"""Pause before the ledger is read or written again."""

TELLINGS_PER_SECOND = 400
"""Nodes tell their counts less often where there are so many that more messages would come."""

_TURN_SECONDS = 0.1


@dataclass(slots=True)
class _Source:
    """A node's process that counts."""

    heard_at: float
    complete_before: float


class UsageDuty:
    """Reports usage while this node coordinates; made anew for each term.

    Args:
        epoch: the term.
        lease: proves that no other node makes the duty's calls.
        holder: this node, as the platform is told.
        clock: seconds since the epoch.
        nodes: how many nodes there are, roughly.
        silent_nodes: how many of them have been silent for a moment: they may have counted, too.
    """

    def __init__(
        self,
        store: DocumentStore,
        name: str,
        epoch: int,
        settings: UsageSettings,
        platform: DutyPlatform,
        lease: OrderLease,
        holder: str,
        clock: Callable[[], float],
        nodes: Callable[[], int],
        silent_nodes: Callable[[], int] = lambda: 0,
    ) -> None:
        self._silent_nodes = silent_nodes
        self._store = store
        self._name = name
        self._epoch = epoch
        self._settings = settings
        self._platform = platform
        self._lease = lease
        self._holder = holder
        self._clock = clock
        self._nodes = nodes
        self._began_at = clock()
        self._ledger = UsageLedger(epoch)
        self._revision = 0
        """Of the ledger's document as this term read or wrote it last; 0: not read yet."""
        self._written_bytes = 0
        self._written_at = 0.0
        self._dirty = False
        self._confirmed: dict[int, dict[str, int]] = {}
        """Decided windows that stand in the store and are to be reported."""
        self._sources: dict[str, _Source] = {}
        self._to_report = Event()
        self._tasks: list[gevent.Greenlet] = []

    @property
    def ledger(self) -> UsageLedger:
        """What is known."""
        return self._ledger

    def windows(self) -> list[WindowSummary]:
        """Return what operators are shown of each window, the oldest first."""
        ledger = self._ledger
        return [
            *(self._summary(window, counts) for window, counts in sorted(ledger.decided.items())),
            *(self._summary(one, ledger.counts_so_far(one)) for one in sorted(ledger.open)),
        ]

    def _summary(self, window: int, counts: dict[str, int]) -> WindowSummary:
        state = "open"
        if window in self._ledger.decided:
            state = "reported" if window in self._ledger.reported else "decided"
        ended_ms_ago = int((self._clock() - self._end_of(window)) * 1000)
        return WindowSummary(window, state, sum(counts.values()), len(counts), ended_ms_ago)

    def start(self) -> None:
        """Start to gather and to report."""
        self._tasks = [gevent.spawn(self._keep_ledger), gevent.spawn(self._report_all)]

    def stop(self) -> None:
        """Decide and report nothing more."""
        for task in self._tasks:
            task.kill(block=False)

    def take(self, message: UsageCounts) -> UsageCountsReply:
        """Take a node's counts."""
        for window in message.windows:
            late = self._ledger.missed(window.number, window.counts)
            if late:
                logger.info(
                    "usage came too late",
                    code="usage_late",
                    source=message.source,
                    window=window.number,
                    requests=late,
                )
            if self._ledger.merge(window.number, message.source, window.counts):
                self._dirty = True
        self._sources[message.source] = _Source(self._clock(), message.complete_before_ms / 1000.0)
        pause = self._nodes() / TELLINGS_PER_SECOND
        return UsageCountsReply(True, int(pause * 1000))

    # The ledger

    def _keep_ledger(self) -> None:
        self._load()
        while True:
            gevent.sleep(_TURN_SECONDS)
            decided = self._decide_due()
            if decided or (self._dirty and self._may_write()):
                self._write()

    def _may_write(self) -> bool:
        pause = max(CHECKPOINT_SECONDS, self._written_bytes / CHECKPOINT_BYTES_PER_SECOND)
        return steady_seconds() - self._written_at >= pause

    def _load(self) -> None:
        """Read the ledger of the terms before, and write this term into it."""
        while True:
            try:
                document = self._store.get(DocumentKind.USAGE_LEDGER, self._name)
                if document is None:
                    self._ledger.decided_through = self._window_of(self._began_at) - 1
                    content = self._ledger.encode()
                    document = self._store.create(DocumentKind.USAGE_LEDGER, self._name, content)
                self._adopt(document)
                break
            except RunkeelError as error:
                logger.info(
                    "usage ledger not read yet", code="usage_delayed", error=str(error.code)
                )
                gevent.sleep(STORE_RETRY_SECONDS)
        self._write()

    def _adopt(self, document: Document) -> None:
        """Go by what stands in the store; what nodes have told this term is added to it."""
        told, reported = self._ledger.open, self._ledger.reported
        self._ledger = UsageLedger.decode(document.content)
        self._ledger.epoch = max(self._epoch, self._ledger.epoch)
        self._ledger.reported |= reported & set(self._ledger.decided)
        self._revision = document.revision
        for window, sources in told.items():
            for source, counts in sources.items():
                self._ledger.merge(window, source, counts)
        self._confirm()

    def _confirm(self) -> None:
        for window in self._ledger.unreported():
            self._confirmed.setdefault(window, self._ledger.decided[window])
        self._to_report.set()

    def _decide_due(self) -> bool:
        """Decide the windows that are complete, or can't wait any longer."""
        decided = False
        while self._is_due(self._ledger.decided_through + 1):
            window = self._ledger.decided_through + 1
            counts = self._ledger.decide(window)
            decided = True
            logger.info(
                "usage decided",
                code="usage_decided",
                window=window,
                requests=sum(counts.values()),
                tenants=len(counts),
                sources=len(self._sources),
                age_ms=int((self._clock() - self._end_of(window)) * 1000),
            )
        return decided

    def _is_due(self, window: int) -> bool:
        now, end = self._clock(), self._end_of(window)
        if now >= end + DECISION_SHARE * self._settings.late_seconds:
            return True
        return now >= end + SETTLED_SECONDS and self._is_complete(window, end)

    def _is_complete(self, window: int, end: float) -> bool:
        """Return whether every node that counts has told all of a window."""
        if self._began_at > end - self._settings.window_seconds:
            # A node of which this term has not heard yet may have counted.
            return False
        if self._silent_nodes():
            return False
        expected_since = end - EXPECTED_WINDOWS * self._settings.window_seconds
        return all(
            source.complete_before >= end
            for source in self._sources.values()
            if source.heard_at >= expected_since
        )

    def _write(self) -> None:
        """Replace the ledger; what was decided counts once this is confirmed."""
        self._dirty = False
        content = self._ledger.encode()
        started = steady_seconds()
        try:
            stored = self._store.replace(
                DocumentKind.USAGE_LEDGER, self._name, content, self._revision
            )
        except DocumentConflictError as conflict:
            self._settle(conflict)
            return
        except RunkeelError as error:
            self._dirty = True
            logger.info("usage ledger not written yet", code="usage_delayed", error=str(error.code))
            gevent.sleep(STORE_RETRY_SECONDS)
            return
        self._revision = stored.revision
        self._written_at = started
        self._written_bytes = len(str(content))
        self._confirm()

    def _settle(self, conflict: DocumentConflictError) -> None:
        """Another write came first: an unanswered one of this term, or a later term's."""
        self._dirty = True
        current = conflict.current
        if current is None or current.content is None:
            current = self._store_copy()
        if current is None:
            return
        if int(current.content["epoch"]) > self._epoch:
            logger.info(
                "usage ledger taken over",
                code="usage_superseded",
                epoch=self._epoch,
                by=current.content["epoch"],
            )
            self.stop()
            return
        self._adopt(current)

    def _store_copy(self) -> Document | None:
        try:
            return self._store.get(DocumentKind.USAGE_LEDGER, self._name)
        except RunkeelError as error:
            logger.info("usage ledger not read yet", code="usage_delayed", error=str(error.code))
            gevent.sleep(STORE_RETRY_SECONDS)
            return None

    def _window_of(self, at: float) -> int:
        return int(at // self._settings.window_seconds)

    def _end_of(self, window: int) -> float:
        return (window + 1) * self._settings.window_seconds

    # Reports

    def _report_all(self) -> None:
        while True:
            self._to_report.wait()
            self._to_report.clear()
            while self._confirmed:
                if not self._report(min(self._confirmed)):
                    gevent.sleep(REPORT_RETRY_SECONDS)

    def _report(self, window: int) -> bool:
        """Report a window; False when it is to be tried again."""
        started = steady_seconds()
        try:
            self._lease.confirm()
            wait = self._lease.seconds_until_orders()
            if wait > 0:
                gevent.sleep(wait)
                self._lease.confirm()
            holder = DutyHolder(self._holder, self._lease.token)
            report = UsageReport(window, self._confirmed[window])
            self._platform.report_usage(report, holder, REPORT_SECONDS, self._lease.check)
        except RunkeelError as error:
            USAGE_REPORTS.labels(str(error.code)).inc()
            logger.info(
                "usage not reported yet",
                code="usage_report",
                window=window,
                error=str(error.code),
                detail=error.detail,
                age_ms=int((self._clock() - self._end_of(window)) * 1000),
            )
            return False
        counts = self._confirmed.pop(window)
        self._ledger.reported.add(window)
        USAGE_REPORTS.labels("").inc()
        logger.info(
            "usage reported",
            code="usage_report",
            window=window,
            requests=sum(counts.values()),
            tenants=len(counts),
            token=holder.fencing_token,
            age_ms=int((self._clock() - self._end_of(window)) * 1000),
            ms=int((steady_seconds() - started) * 1000),
        )
        return True
