"""Directory of the known servers, their connection pools and health, and server selection."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable
from dataclasses import replace

from loguru import logger

from runkeel.api.fleet import Backend
from runkeel.backends.http_connection import HttpConnectionPool
from runkeel.clock import steady_seconds
from runkeel.gateway.backend_change_log import BackendChangeLog
from runkeel.gateway.incarnation_tracker import IncarnationTracker, is_reported
from runkeel.gateway.indexed_set import IndexedSet

MAX_CANDIDATES = 16
"""Maximum number of servers considered per request, to bound the cost of the selection.

A node keeps using the same candidates of a larger service, so that connections are reused.
"""

BASE_EJECTION_SECONDS = 0.5
"""Time for which a server is avoided after a lost connection or response.

Each consecutive failure doubles it.
"""

MAX_EJECTION_SECONDS = 4.0
"""Upper bound of the ejection time, so that a recovered server is found again."""

MAX_COUNTED_FAILURES = 100
"""Upper bound of the count of consecutive failures.

The ejection time doubles with each failure and would overflow a float from 1,025 failures on.
MAX_EJECTION_SECONDS is reached after a few.
"""

ENDED_RETRY_SECONDS = 10.0
"""An ended server whose entry still exists is tried again after this time.

Exceeds the time until an entry without heartbeats has expired in the document store and its removal
has reached the nodes. If the entry still exists by then, the server has restarted without reporting
it, or the store is unavailable.
"""

REFUSAL_BACKOFF_SECONDS = 0.05
"""Time for which a server is avoided after it refused a request because it was full."""

RESPONSE_TIME_WEIGHT = 0.3
"""Weight of the newest sample in the moving average of response times."""

MAX_UNREADABLE_ENTRIES = 1_000
"""Maximum number of unreadable entries without a known server that are kept for operators."""


class BackendState:
    """One incarnation of a server, and its health as observed by this node's requests.

    Attributes:
        in_flight: requests of this node in flight.
        failures: consecutive failures.
        avoid_until: steady clock time, in seconds, until which the server is avoided.
        last_response_at: steady clock time of its last response to a request of this node.
        average_response_seconds: moving average of its response times in seconds; 0 if unknown.
        replaced: whether a newer incarnation has taken over the server id.
    """

    def __init__(self, backend: Backend) -> None:
        self.backend = backend
        self.pool = HttpConnectionPool(backend.address, allow_close_delimited=True)
        self.in_flight = 0
        self.failures = 0
        self.avoid_until = 0.0
        self.last_response_at = 0.0
        self.average_response_seconds = 0.0
        self.replaced = False
        # So that `ended` is false at first; the steady clock is never negative.
        self._ended_at = -ENDED_RETRY_SECONDS

    @property
    def backend_id(self) -> str:
        return self.backend.backend_id

    @property
    def incarnation(self) -> str:
        """Identifies this incarnation; see :attr:`runkeel.api.fleet.Backend.incarnation`."""
        return self.backend.incarnation

    @property
    def ended(self) -> bool:
        """Whether it has been replaced, or was recently found to have ended."""
        return self.replaced or steady_seconds() < self._ended_at + ENDED_RETRY_SECONDS

    def mark_ended(self) -> None:
        """Record that nothing listens at its address any more."""
        self._ended_at = steady_seconds()

    def record_call_success(self) -> None:
        """Record a successful request; clears failures and the mark that the server has ended."""
        self.last_response_at = steady_seconds()
        self._ended_at = -ENDED_RETRY_SECONDS
        self.failures = 0
        self.avoid_until = 0.0

    def record_response_time(self, seconds: float) -> None:
        """Add a response time, in seconds, to the moving average."""
        before = self.average_response_seconds or seconds
        self.average_response_seconds = before + RESPONSE_TIME_WEIGHT * (seconds - before)

    def record_call_refusal(self) -> None:
        """Record that the server was full."""
        self.avoid_until = max(self.avoid_until, steady_seconds() + REFUSAL_BACKOFF_SECONDS)

    def record_call_failure(self) -> None:
        """Record a lost connection or response; ejects the server, longer if failures repeat."""
        self.failures = min(MAX_COUNTED_FAILURES, self.failures + 1)
        pause = min(MAX_EJECTION_SECONDS, BASE_EJECTION_SECONDS * 2 ** (self.failures - 1))
        self.avoid_until = steady_seconds() + pause

    def avoided(self, now: float) -> bool:
        """Return whether requests should prefer other servers at this steady clock time."""
        return self.ended or now < self.avoid_until


class BackendDirectory:
    """All known servers by id.

    An update of the same incarnation keeps its connections. State that other classes keep about a
    server is keyed by :attr:`BackendState.incarnation`, so that it isn't applied to a later one.

    Attributes:
        membership_changes: incremented whenever a server starts or stops taking new work.
        unreadable: by server id, why an entry that belongs to no known server can't be read.
    """

    def __init__(self) -> None:
        self._states: dict[str, BackendState] = {}
        self._services: dict[str, IndexedSet[BackendState]] = {}
        """Servers that take new work, by service."""
        self._preferred: dict[str, list[BackendState]] = {}
        """Candidates of each service that has more than MAX_CANDIDATES servers."""
        self._starts = IncarnationTracker()
        self._change_log = BackendChangeLog()
        self._listeners: list[Callable[[str], None]] = []
        self._end_listeners: list[Callable[[BackendState], None]] = []
        self.membership_changes = 0
        self.unreadable: OrderedDict[str, str] = OrderedDict()

    def on_change(self, listener: Callable[[str], None]) -> None:
        """Register a listener that gets the service's name whenever one of its servers changes."""
        self._listeners.append(listener)

    def on_incarnation_end(self, listener: Callable[[BackendState], None]) -> None:
        """Register a listener for incarnations that ended: the server left or was restarted.

        The listener has to drop everything that is kept for the incarnation, within the call.
        """
        self._end_listeners.append(listener)

    def put(self, backend: Backend, revision: int = 0) -> bool:
        """Add or update a server; returns False if the entry is of an incarnation that is over.

        Args:
            backend: the server as its entry describes it.
            revision: revision of the entry.
        """
        resolved = self._starts.resolve(backend, revision)
        if resolved is None:
            logger.info(
                "ignored entry of a previous incarnation",
                code="backend_start_over",
                backend=backend.incarnation,
                revision=revision,
            )
            return False
        self._apply(resolved)
        return True

    def record_reported_start(self, state: BackendState, start: str) -> None:
        """Process the start that a server reported in a response."""
        if self._states.get(state.backend_id) is not state:
            return
        renewed = self._starts.record_reported_start(state.backend, start)
        if renewed is not None:
            self._apply(renewed)

    def mark_unreadable(self, backend_id: str, reason: str) -> None:
        """Record that an entry can't be read; its server gets no new work until it can.

        Requests in flight continue, as a malformed entry doesn't mean that the server failed.
        """
        state = self._states.get(backend_id)
        if state is not None:
            self._apply(replace(state.backend, unreadable=reason))
            return
        self.unreadable[backend_id] = reason
        if len(self.unreadable) > MAX_UNREADABLE_ENTRIES:
            self.unreadable.popitem(last=False)

    def _apply(self, backend: Backend) -> None:
        """Apply an update of a server, replacing its state if the incarnation differs."""
        self.unreadable.pop(backend.backend_id, None)
        state = self._states.get(backend.backend_id)
        if state is not None and _is_replacement(state.backend, backend):
            self._retire(state, backend)
            state = None
        self._change_log.record_update(None if state is None else state.backend, backend)
        if state is None:
            state = self._states[backend.backend_id] = BackendState(backend)
        else:
            if state.backend.service != backend.service:
                self._remove_from_service(state)
            state.backend = backend
        if backend.accepts_work:
            self._add_to_service(state)
        else:
            self._remove_from_service(state)
        self._notify(backend.service)

    def _retire(self, state: BackendState, successor: Backend) -> None:
        """Remove the state of a replaced incarnation and abort its requests."""
        logger.warning(
            "server restarted under the same id",
            code="backend_restarted",
            backend=successor.incarnation,
            before=state.incarnation,
            service=successor.service,
            address=str(successor.address),
            in_flight=state.in_flight,
            failures=state.failures,
        )
        del self._states[state.backend_id]
        self._remove_from_service(state)
        state.replaced = True
        for listener in self._end_listeners:
            listener(state)
        state.pool.abort()

    def remove(self, backend_id: str) -> None:
        """Remove a server that has left."""
        self.unreadable.pop(backend_id, None)
        self._starts.forget(backend_id)
        state = self._states.pop(backend_id, None)
        if state is None:
            return
        self._remove_from_service(state)
        state.pool.close()
        self._change_log.record_departure(state.backend)
        for listener in self._end_listeners:
            listener(state)
        self._notify(state.backend.service)

    def get(self, backend_id: str) -> BackendState | None:
        """Return the state of the current incarnation of a server id."""
        return self._states.get(backend_id)

    def find(self, incarnation: str) -> BackendState | None:
        """Return the state of an incarnation named by another node, None if it isn't current.

        If a server doesn't report its start, each node infers restarts from its entries. Nodes may
        then name the same incarnation differently, or miss a restart. A name without a reported
        start therefore matches the current incarnation if that one has no reported start either.
        """
        backend_id, _, start = incarnation.partition("@")
        # A name without a start is a bare server id.
        state = self._states.get(incarnation) or self._states.get(backend_id)
        if state is None or state.incarnation == incarnation:
            return state
        return None if is_reported(start) or is_reported(state.backend.start) else state

    def of_service(self, service: str) -> list[BackendState]:
        """Return the servers of a service that take new work."""
        return list(self._services.get(service, ()))

    def candidates(self, service: str, tried: Collection[str] = ()) -> list[BackendState]:
        """Return the servers to choose from for a request: all, or a bounded subset of many.

        Args:
            service: name of the service.
            tried: incarnations already tried; if all preferred servers are among them or avoided,
                further ones are sampled.
        """
        members = self._services.get(service)
        if members is None:
            return []
        if len(members) <= MAX_CANDIDATES:
            return list(members)
        preferred = self._preferred_of(service, members)
        now = steady_seconds()
        if any(one.incarnation not in tried and not one.avoided(now) for one in preferred):
            return preferred
        return [*preferred, *members.sample(MAX_CANDIDATES)]

    def all(self) -> list[BackendState]:
        """Return all servers, including those that are draining."""
        return list(self._states.values())

    def _preferred_of(self, service: str, members: IndexedSet[BackendState]) -> list[BackendState]:
        kept = [one for one in self._preferred.get(service, ()) if one.incarnation in members]
        if len(kept) < MAX_CANDIDATES:
            known = {one.incarnation for one in kept}
            sampled = [
                one for one in members.sample(MAX_CANDIDATES) if one.incarnation not in known
            ]
            kept += sampled[: MAX_CANDIDATES - len(kept)]
        self._preferred[service] = kept
        return kept

    def _add_to_service(self, state: BackendState) -> None:
        members = self._services.setdefault(state.backend.service, IndexedSet())
        if members.add(state.incarnation, state):
            self.membership_changes += 1

    def _remove_from_service(self, state: BackendState) -> None:
        members = self._services.get(state.backend.service)
        if members is not None and members.discard(state.incarnation):
            self.membership_changes += 1

    def _notify(self, service: str) -> None:
        for listener in self._listeners:
            listener(service)


def _is_replacement(known: Backend, backend: Backend) -> bool:
    """Return whether an update is of another incarnation or address than the known one."""
    return (known.incarnation, known.address) != (backend.incarnation, backend.address)


def choose_backend(
    candidates: Iterable[BackendState], tried: set[str], zone: str
) -> BackendState | None:
    """Choose the least loaded server among those not yet tried.

    Servers to be avoided come last. Ties are broken in favour of servers with an idle connection,
    then of servers in this zone, then at random.
    """
    now = steady_seconds()
    untried = [state for state in candidates if state.incarnation not in tried]
    if not untried:
        return None

    def sort_key(state: BackendState) -> tuple[bool, float, bool, bool, float]:
        load = state.in_flight / max(1, state.backend.slots)
        return (
            state.avoided(now),
            round(load, 1),
            state.pool.idle_connections == 0,
            state.backend.zone != zone,
            random.random(),
        )

    return min(untried, key=sort_key)
