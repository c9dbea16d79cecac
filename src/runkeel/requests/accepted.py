"""The owner's table of requests by (request id, attempt): the source of its proofs of ``NOT_RUN``.

A request moves from queued to sent to finished, or from queued to withdrawn, never back. The step
to sent and the step to withdrawn exclude each other: neither yields to another task.
"""

from __future__ import annotations

import enum
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from runkeel.errors import ErrorCode, may_have_run, not_run

DEFAULT_CAPACITY = 65_536
SETTLED_RETENTION_SECONDS = 10.0
OVERTAKEN_RETENTION_SECONDS = 120.0
"""How long a withdrawal that overtook its request is remembered, and a non-repeatable request."""
UPTIME_MARGIN_SECONDS = 5.0
"""Longest time that a withdrawal may be under way and its reply still be believed."""


class RequestState(enum.IntEnum):
    """State of a request at its owner; the values of the wire's RequestState."""

    UNKNOWN = 0
    QUEUED = 1
    SENT = 2
    FINISHED = 3
    WITHDRAWN = 4


@dataclass(frozen=True, slots=True)
class RequestKey:
    """One attempt of one request."""

    request_id: str
    attempt: int


@dataclass(slots=True)
class AcceptedRequest:
    """One row of the table.

    Attributes:
        on_withdraw: wakes the task that waits in the queue.
        on_cancel: called when a withdrawal finds the request already sent.
    """

    key: RequestKey
    state: RequestState
    keep_long: bool
    on_withdraw: Callable[[], None] | None = None
    on_cancel: Callable[[], None] | None = None

    def mark_sent(self) -> None:
        """Enter the state in which a back end may run the request.

        Raises:
            RunkeelError: WITHDRAWN (NOT_RUN) when it was withdrawn first.
        """
        if self.state is not RequestState.QUEUED:
            raise not_run(ErrorCode.WITHDRAWN, "the request was withdrawn")
        self.state = RequestState.SENT


class AcceptedRequests:
    """Bounded table of the requests that this owner has seen."""

    def __init__(
        self, capacity: int = DEFAULT_CAPACITY, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._capacity = capacity
        self._clock = clock
        self._started_at = clock()
        self._rows: dict[RequestKey, AcceptedRequest] = {}
        self._settled: deque[tuple[float, RequestKey]] = deque()
        self._kept_long: deque[tuple[float, RequestKey]] = deque()

    def __len__(self) -> int:
        return len(self._rows)

    def accept(self, key: RequestKey, repeatable: bool) -> AcceptedRequest:
        """Enter a new request as queued.

        Raises:
            RunkeelError: WITHDRAWN (NOT_RUN) when its withdrawal came first, DUPLICATE_REQUEST
                (MAY_HAVE_RUN) when it is known, QUEUE_FULL (NOT_RUN) when the table is full.
        """
        known = self._rows.get(key)
        if known is not None:
            if known.state is RequestState.WITHDRAWN:
                raise not_run(ErrorCode.WITHDRAWN, "the request was withdrawn before it came")
            raise may_have_run(ErrorCode.DUPLICATE_REQUEST, "this attempt was received before")
        if not self._make_room():
            raise not_run(ErrorCode.QUEUE_FULL, "too many requests", retry_after_seconds=1.0)
        row = AcceptedRequest(key, RequestState.QUEUED, keep_long=not repeatable)
        self._rows[key] = row
        return row

    def settle(self, row: AcceptedRequest) -> None:
        """Note that the request's handling is over; a request never sent becomes withdrawn."""
        sent = row.state in (RequestState.SENT, RequestState.FINISHED)
        row.state = RequestState.FINISHED if sent else RequestState.WITHDRAWN
        row.on_withdraw = row.on_cancel = None
        self._retire(row.key, long=row.keep_long and sent)

    def withdraw(self, key: RequestKey, age_seconds: float) -> RequestState:
        """Take a request back and return its state after that.

        WITHDRAWN proves that the request has not run and never will. For a request that this
        process has not seen, that holds only if the process is older than the request: an earlier
        process of the same node may have run it.

        Args:
            age_seconds: time since the entry began to send the request.
        """
        row = self._rows.get(key)
        if row is None:
            return self._withdraw_unseen(key, age_seconds)
        if row.state is RequestState.QUEUED:
            row.state = RequestState.WITHDRAWN
            if row.on_withdraw is not None:
                row.on_withdraw()
        elif row.state is RequestState.SENT and row.on_cancel is not None:
            row.on_cancel()
        return row.state

    def _withdraw_unseen(self, key: RequestKey, age_seconds: float) -> RequestState:
        uptime = self._clock() - self._started_at
        if uptime < age_seconds + UPTIME_MARGIN_SECONDS or not self._make_room():
            return RequestState.UNKNOWN
        self._rows[key] = AcceptedRequest(key, RequestState.WITHDRAWN, keep_long=True)
        self._retire(key, long=True)
        return RequestState.WITHDRAWN

    def _retire(self, key: RequestKey, long: bool) -> None:
        if long:
            self._kept_long.append((self._clock() + OVERTAKEN_RETENTION_SECONDS, key))
        else:
            self._settled.append((self._clock() + SETTLED_RETENTION_SECONDS, key))

    def _make_room(self) -> bool:
        now = self._clock()
        for retired in (self._settled, self._kept_long):
            while retired and retired[0][0] <= now:
                self._rows.pop(retired.popleft()[1], None)
        if len(self._rows) >= self._capacity and self._settled:
            self._rows.pop(self._settled.popleft()[1], None)
        return len(self._rows) < self._capacity
