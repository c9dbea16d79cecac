"""Collects the nodes' usage counts on the coordinator and reports them to the platform."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.event import Event
from loguru import logger

from runkeel.api.documents import Document, DocumentConflictError, DocumentKind, DocumentStore
from runkeel.api.usage import LeaseHolder, UsageReport, UsageSettings, UsageSink
from runkeel.clock import steady_seconds
from runkeel.coordination.order_lease import OrderLease
from runkeel.errors import RunkeelError
from runkeel.metrics import USAGE_REPORTS
from runkeel.usage.ledger import UsageLedger, WindowSummary
from runkeel.wire.generated.jobs.ttypes import UsageCounts, UsageCountsReply

MIN_WRITE_INTERVAL_SECONDS = 0.5
"""Minimum time between a write of the ledger and the next write of new counts.

Decisions are written immediately. Counts not written yet are lost only if both their node and the
coordinator crash.
"""

MAX_WRITE_BYTES_PER_SECOND = 200_000
"""Maximum write rate; a large ledger is written less often, to limit load on link and store."""

DECISION_DEADLINE_FRACTION = 0.5
"""Fraction of ``late_seconds`` after which an ended window is decided even if incomplete.

A window is *decided* when its counts are fixed for the report, which is due ``late_seconds`` after
the window's end. Partitioned nodes have until the decision to send their counts. The rest of the
time is reserved for a new coordinator, which may have to wait until its predecessor's lease
expires.
"""

MIN_DECISION_DELAY_SECONDS = 0.3
"""Minimum time between the end of a window and its decision.

A source is waited for only once it has sent counts; the delay leaves time for the first ones.
"""

ACTIVE_SOURCE_WINDOWS = 3
"""Number of windows for which a source stays active after it last sent counts.

Before its deadline, a window is decided only if all sources active at its end have completed it.
"""

REPORT_TIMEOUT_SECONDS = 1.0
"""Timeout of a report to the platform."""

REPORT_RETRY_DELAY_SECONDS = 0.3
"""Delay before a failed report is retried, to limit the rate of calls to the platform."""

STORE_RETRY_DELAY_SECONDS = 0.2
"""Delay before a failed read or write of the ledger is retried."""

MAX_UPDATES_PER_SECOND = 400
"""Maximum rate of updates from all nodes together; larger fleets send counts less often."""

_POLL_INTERVAL_SECONDS = 0.1


@dataclass(slots=True)
class _Source:
    """A node's process that sends counts; times in seconds since the Unix epoch.

    Attributes:
        complete_before: its counts of earlier times are complete.
    """

    last_update_at: float
    complete_before: float


class UsageAggregator:
    """Decides and reports each tenant's usage per time window while this node is the coordinator.

    Nodes send their counts of requests. A window is decided, which fixes its counts, once all
    active nodes have sent theirs or the decision is due. It is reported after the decision has
    been written to the store. A new instance is created for each term.

    Args:
        name: name of the ledger's document.
        epoch: number of this node's term as coordinator.
        lease: shared with the orders to engines; reports count as orders, so that only one node at
            a time sends them.
        holder: name of this node in calls to the platform.
        clock: returns the seconds since the Unix epoch.
        nodes: returns the approximate number of nodes.
        silent_nodes: returns the number of nodes not heard from recently, which may have counts.
    """

    def __init__(
        self,
        store: DocumentStore,
        name: str,
        epoch: int,
        settings: UsageSettings,
        usage_sink: UsageSink,
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
        self._usage_sink = usage_sink
        self._lease = lease
        self._holder = holder
        self._clock = clock
        self._nodes = nodes
        self._started_at = clock()
        """Start of the confirmed term; nodes send no counts here before it."""
        self._ledger = UsageLedger(epoch)
        self._revision = 0
        """Revision of the ledger's document last read or written in this term; 0 before."""
        self._written_bytes = 0
        self._written_at = 0.0
        self._dirty = False
        self._reportable: dict[int, dict[str, int]] = {}
        """Counts of decided windows that are persisted in the store but not reported yet."""
        self._sources: dict[str, _Source] = {}
        self._reports_pending = Event()
        self._tasks: list[gevent.Greenlet] = []

    @property
    def ledger(self) -> UsageLedger:
        """The current ledger."""
        return self._ledger

    def windows(self) -> list[WindowSummary]:
        """Return summaries of all windows for operators, oldest first."""
        ledger = self._ledger
        return [
            *(self._summary(window, counts) for window, counts in sorted(ledger.decided.items())),
            *(self._summary(one, ledger.current_counts(one)) for one in sorted(ledger.open)),
        ]

    def _summary(self, window: int, counts: dict[str, int]) -> WindowSummary:
        state = "open"
        if window in self._ledger.decided:
            state = "reported" if window in self._ledger.reported else "decided"
        ended_ms_ago = int((self._clock() - self._end_of(window)) * 1000)
        return WindowSummary(window, state, sum(counts.values()), len(counts), ended_ms_ago)

    def start(self) -> None:
        """Start the tasks that update the ledger and report windows, in a confirmed term."""
        self._started_at = self._clock()
        self._tasks = [gevent.spawn(self._run_ledger), gevent.spawn(self._report_all)]

    def stop(self) -> None:
        for task in self._tasks:
            task.kill(block=False)

    def merge_counts(self, message: UsageCounts) -> UsageCountsReply:
        """Merge a node's counts."""
        for window in message.windows:
            late = self._ledger.late_requests(window.number, window.counts)
            if late:
                logger.info(
                    "usage counts received after their window was decided",
                    code="usage_late",
                    source=message.source,
                    window=window.number,
                    requests=late,
                )
            if self._ledger.merge(window.number, message.source, window.counts):
                self._dirty = True
        self._sources[message.source] = _Source(self._clock(), message.complete_before_ms / 1000.0)
        pause = self._nodes() / MAX_UPDATES_PER_SECOND
        return UsageCountsReply(True, int(pause * 1000))

    def _run_ledger(self) -> None:
        self._load()
        while True:
            gevent.sleep(_POLL_INTERVAL_SECONDS)
            decided = self._decide_due()
            if decided or (self._dirty and self._write_allowed()):
                self._write()

    def _write_allowed(self) -> bool:
        pause = max(MIN_WRITE_INTERVAL_SECONDS, self._written_bytes / MAX_WRITE_BYTES_PER_SECOND)
        return steady_seconds() - self._written_at >= pause

    def _load(self) -> None:
        """Load or create the ledger, and write this term's epoch into it."""
        while True:
            try:
                document = self._store.get(DocumentKind.USAGE_LEDGER, self._name)
                if document is None:
                    self._ledger.decided_through = self._window_of(self._started_at) - 1
                    content = self._ledger.encode()
                    document = self._store.create(DocumentKind.USAGE_LEDGER, self._name, content)
                self._adopt(document)
                break
            except RunkeelError as error:
                logger.info(
                    "usage ledger not loaded yet", code="usage_delayed", error=str(error.code)
                )
                gevent.sleep(STORE_RETRY_DELAY_SECONDS)
        self._write()

    def _adopt(self, document: Document) -> None:
        """Replace the ledger by the stored one, merged with the counts received in this term."""
        open_counts, reported = self._ledger.open, self._ledger.reported
        self._ledger = UsageLedger.decode(document.content)
        self._ledger.epoch = max(self._epoch, self._ledger.epoch)
        self._ledger.reported |= reported & set(self._ledger.decided)
        self._revision = document.revision
        for window, sources in open_counts.items():
            for source, counts in sources.items():
                self._ledger.merge(window, source, counts)
        self._queue_reports()

    def _queue_reports(self) -> None:
        """Queue the decided windows for reporting; called once the store has their decisions."""
        for window in self._ledger.unreported():
            self._reportable.setdefault(window, self._ledger.decided[window])
        self._reports_pending.set()

    def _decide_due(self) -> bool:
        """Decide the windows that are complete or due; returns whether there were any."""
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
        if now >= end + DECISION_DEADLINE_FRACTION * self._settings.late_seconds:
            return True
        return now >= end + MIN_DECISION_DELAY_SECONDS and self._is_complete(window, end)

    def _is_complete(self, window: int, end: float) -> bool:
        """Return whether all active sources have sent their complete counts of a window."""
        if self._started_at > end - self._settings.window_seconds:
            # The window began before this term: sources unknown to this term may have counts.
            return False
        if self._silent_nodes():
            return False
        expected_since = end - ACTIVE_SOURCE_WINDOWS * self._settings.window_seconds
        return all(
            source.complete_before >= end
            for source in self._sources.values()
            if source.last_update_at >= expected_since
        )

    def _write(self) -> None:
        """Write the ledger; decided windows are reported only after a successful write."""
        self._dirty = False
        content = self._ledger.encode()
        started = steady_seconds()
        try:
            stored = self._store.replace(
                DocumentKind.USAGE_LEDGER, self._name, content, self._revision
            )
        except DocumentConflictError as conflict:
            self._resolve_conflict(conflict)
            return
        except RunkeelError as error:
            self._dirty = True
            logger.info("usage ledger not written yet", code="usage_delayed", error=str(error.code))
            gevent.sleep(STORE_RETRY_DELAY_SECONDS)
            return
        self._revision = stored.revision
        self._written_at = started
        self._written_bytes = len(str(content))
        self._queue_reports()

    def _resolve_conflict(self, conflict: DocumentConflictError) -> None:
        """Handle a conflict with the stored ledger.

        If a later term wrote it, this term's tasks stop. Otherwise an earlier term wrote it, or
        this term did in a write that wasn't acknowledged; it is adopted and written again.
        """
        self._dirty = True
        current = conflict.current
        if current is None or current.content is None:
            current = self._read_document()
        if current is None:
            return
        if int(current.content["epoch"]) > self._epoch:
            logger.info(
                "usage ledger taken over by a later term",
                code="usage_superseded",
                epoch=self._epoch,
                by=current.content["epoch"],
            )
            self.stop()
            return
        self._adopt(current)

    def _read_document(self) -> Document | None:
        try:
            return self._store.get(DocumentKind.USAGE_LEDGER, self._name)
        except RunkeelError as error:
            logger.info("usage ledger not read yet", code="usage_delayed", error=str(error.code))
            gevent.sleep(STORE_RETRY_DELAY_SECONDS)
            return None

    def _window_of(self, at: float) -> int:
        return int(at // self._settings.window_seconds)

    def _end_of(self, window: int) -> float:
        return (window + 1) * self._settings.window_seconds

    def _report_all(self) -> None:
        while True:
            self._reports_pending.wait()
            self._reports_pending.clear()
            while self._reportable:
                if not self._report(min(self._reportable)):
                    gevent.sleep(REPORT_RETRY_DELAY_SECONDS)

    def _report(self, window: int) -> bool:
        """Report a window; returns False if it must be retried."""
        started = steady_seconds()
        try:
            self._lease.confirm()
            wait = self._lease.seconds_until_orders()
            if wait > 0:
                gevent.sleep(wait)
                self._lease.confirm()
            holder = LeaseHolder(self._holder, self._lease.token)
            report = UsageReport(window, self._reportable[window])
            self._usage_sink.report_usage(report, holder, REPORT_TIMEOUT_SECONDS, self._lease.check)
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
        counts = self._reportable.pop(window)
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
