"""The servers that this node knows, its connections to them, and which to use next."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable
from dataclasses import replace

from loguru import logger

from runkeel.api.fleet import Backend
from runkeel.backends.http_connection import HttpConnectionPool
from runkeel.clock import steady_seconds
from runkeel.gateway.directory_news import DirectoryNews
from runkeel.gateway.indexed_set import IndexedSet
from runkeel.gateway.server_starts import ServerStarts, is_told

CANDIDATES = 16
"""A request's server is chosen among so many of a larger service.

The cost of a choice is that of looking at each candidate, 1 to 2 us. Each node keeps to the same
ones, so that its connections are used again.
"""

FIRST_EJECTION_SECONDS = 0.5
"""A server whose answer or connection was lost is left for so long; each further loss in a row
doubles it. Half a second is what a server's restart on the users' platform takes at the least.
"""

LONGEST_EJECTION_SECONDS = 4.0
"""A server that came back is found after so long at the latest."""

MOST_FAILURES = 100
"""Losses in a row are counted up to here; the pause has its full length from the fourth on."""

ENDED_SECONDS = 10.0
"""A server that has ended is tried again after so long, if its entry is still there.

The entry of one that is gone goes within 6 s: three heartbeats of 1.2 s, and the news of it. Later
it has come back under its id, or the store is away and can't tell; a try costs a refused connection
of 3 ms. Without this bound a server that came back without saying so got no work for good.
"""

REFUSAL_PAUSE_SECONDS = 0.05
"""A full server is left for so long, about as long as one request runs there."""


ANSWER_WEIGHT = 0.3
"""Weight of the newest answer: a server that turned slow shows after three."""

MAXIMUM_UNREADABLE = 1_000
"""Entries that name no server and are remembered for operators; a writer may make them without
end."""


class BackendState:
    """One start of a server and what this node knows of it from its own requests.

    Attributes:
        answered_at: steady time of its last answer to a request of this node.
        answer_seconds: how long its answers take, those of late weighing most; 0: not known.
        replaced: the server has started anew under its id, so that this start is over.
    """

    def __init__(self, backend: Backend) -> None:
        self.backend = backend
        self.pool = HttpConnectionPool(backend.address, ends_with_connection=True)
        self.in_flight = 0
        self.failures = 0
        self.avoid_until = 0.0
        self.answered_at = 0.0
        self.answer_seconds = 0.0
        self.replaced = False
        self._ended_at = -ENDED_SECONDS

    @property
    def backend_id(self) -> str:
        """The server's id."""
        return self.backend.backend_id

    @property
    def incarnation(self) -> str:
        """Names this start of the server; see :attr:`runkeel.api.fleet.Backend.incarnation`."""
        return self.backend.incarnation

    @property
    def ended(self) -> bool:
        """Whether it has ended, as seen here or told by another node a short while ago."""
        return self.replaced or steady_seconds() < self._ended_at + ENDED_SECONDS

    def note_ended(self) -> None:
        """Note that nobody listens at its address any more."""
        self._ended_at = steady_seconds()

    def succeeded(self) -> None:
        """Note an answer."""
        self.answered_at = steady_seconds()
        self._ended_at = -ENDED_SECONDS
        self.failures = 0
        self.avoid_until = 0.0

    def note_answer_time(self, seconds: float) -> None:
        """Take how long an answer took."""
        before = self.answer_seconds or seconds
        self.answer_seconds = before + ANSWER_WEIGHT * (seconds - before)

    def refused(self) -> None:
        """Note that the server was full."""
        self.avoid_until = max(self.avoid_until, steady_seconds() + REFUSAL_PAUSE_SECONDS)

    def failed(self) -> None:
        """Note a lost connection or answer; repeated ones take the server out for longer."""
        # Bounded: from 1,025 on the power is no number that a pause can be made of.
        self.failures = min(MOST_FAILURES, self.failures + 1)
        pause = min(LONGEST_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2 ** (self.failures - 1))
        self.avoid_until = steady_seconds() + pause

    def avoided(self, now: float) -> bool:
        """Return whether requests should go elsewhere for the moment."""
        return self.ended or now < self.avoid_until


class BackendDirectory:
    """All servers by id; replaced entries keep their connections.

    What is kept of a server elsewhere goes by :attr:`BackendState.incarnation`, so that nothing of
    one start is taken for the next.

    Attributes:
        membership_changes: grows whenever a server joins those that take new work, or leaves them.
        unreadable: why the entry of an id can't be read, of those that name no known server.
    """

    def __init__(self) -> None:
        self._states: dict[str, BackendState] = {}
        self._services: dict[str, IndexedSet[BackendState]] = {}
        """Servers that take new work, by service."""
        self._preferred: dict[str, list[BackendState]] = {}
        """The candidates of a service that has more than are looked at."""
        self._starts = ServerStarts()
        self._news = DirectoryNews()
        self._listeners: list[Callable[[str], None]] = []
        self._end_listeners: list[Callable[[BackendState], None]] = []
        self.membership_changes = 0
        self.unreadable: OrderedDict[str, str] = OrderedDict()

    def on_change(self, listener: Callable[[str], None]) -> None:
        """Call a listener with the service's name whenever one of its servers changes."""
        self._listeners.append(listener)

    def on_end(self, listener: Callable[[BackendState], None]) -> None:
        """Call a listener with each start that is over: its server is gone, or started anew.

        All that keep something by a server's start forget it then, all in one call.
        """
        self._end_listeners.append(listener)

    def put(self, backend: Backend, revision: int = 0) -> bool:
        """Add a server or take its new state; False: the news is of a start that is over.

        Args:
            revision: of the server's entry.
        """
        settled = self._starts.settle(backend, revision)
        if settled is None:
            logger.info(
                "entry of a start that is over",
                code="backend_start_over",
                backend=backend.incarnation,
                revision=revision,
            )
            return False
        self._take(settled)
        return True

    def note_reported(self, state: BackendState, start: str) -> None:
        """Take note of the start that a server told in an answer of its own."""
        if self._states.get(state.backend_id) is not state:
            return
        renewed = self._starts.note_reported(state.backend, start)
        if renewed is not None:
            self._take(renewed)

    def note_unreadable(self, backend_id: str, reason: str) -> None:
        """Take note of an entry that can't be read: its server gets no new work.

        What runs there goes on: that a writer broke the entry says nothing of the server.
        """
        state = self._states.get(backend_id)
        if state is not None:
            self._take(replace(state.backend, unreadable=reason))
            return
        self.unreadable[backend_id] = reason
        if len(self.unreadable) > MAXIMUM_UNREADABLE:
            self.unreadable.popitem(last=False)

    def _take(self, backend: Backend) -> None:
        """Take a server's new state, or its new start."""
        self.unreadable.pop(backend.backend_id, None)
        state = self._states.get(backend.backend_id)
        if state is not None and _is_another(state.backend, backend):
            self._end(state, backend)
            state = None
        self._news.put(None if state is None else state.backend, backend)
        if state is None:
            state = self._states[backend.backend_id] = BackendState(backend)
        else:
            if state.backend.service != backend.service:
                self._leave(state)
            state.backend = backend
        if backend.takes_work:
            self._join(state)
        else:
            self._leave(state)
        self._notify(backend.service)

    def _end(self, state: BackendState, successor: Backend) -> None:
        """End what is known of a start whose server has started anew, and what waits for it."""
        logger.warning(
            "server started anew under its id",
            code="backend_restarted",
            backend=successor.incarnation,
            before=state.incarnation,
            service=successor.service,
            address=str(successor.address),
            in_flight=state.in_flight,
            failures=state.failures,
        )
        del self._states[state.backend_id]
        self._leave(state)
        state.replaced = True
        for listener in self._end_listeners:
            listener(state)
        state.pool.abort()

    def remove(self, backend_id: str) -> None:
        """Forget a server that has left."""
        self.unreadable.pop(backend_id, None)
        self._starts.forget(backend_id)
        state = self._states.pop(backend_id, None)
        if state is None:
            return
        self._leave(state)
        state.pool.close()
        self._news.gone(state.backend)
        for listener in self._end_listeners:
            listener(state)
        self._notify(state.backend.service)

    def get(self, backend_id: str) -> BackendState | None:
        """Return the state of an id's present start."""
        return self._states.get(backend_id)

    def find(self, incarnation: str) -> BackendState | None:
        """Return the state of a start that another node names, None when it isn't the present one.

        A start that only its count of orders showed may be named otherwise there, or not be known
        as a new one; such a name stands for the present start if that one wasn't told either.
        """
        backend_id, _, start = incarnation.partition("@")
        state = self._states.get(incarnation) or self._states.get(backend_id)
        if state is None or state.incarnation == incarnation:
            return state
        return None if is_told(start) or is_told(state.backend.start) else state

    def of_service(self, service: str) -> list[BackendState]:
        """Return the servers of a service that take new work."""
        return list(self._services.get(service, ()))

    def candidates(self, service: str, tried: Collection[str] = ()) -> list[BackendState]:
        """Return the servers among which a request's is chosen: all, or a bounded part of many.

        Args:
            tried: servers that are not wanted again; where no other one is left, further ones
                are drawn.
        """
        members = self._services.get(service)
        if members is None:
            return []
        if len(members) <= CANDIDATES:
            return list(members)
        preferred = self._preferred_of(service, members)
        now = steady_seconds()
        if any(one.incarnation not in tried and not one.avoided(now) for one in preferred):
            return preferred
        return [*preferred, *members.sample(CANDIDATES)]

    def all(self) -> list[BackendState]:
        """Return all servers, those that leave too."""
        return list(self._states.values())

    def _preferred_of(self, service: str, members: IndexedSet[BackendState]) -> list[BackendState]:
        kept = [one for one in self._preferred.get(service, ()) if one.incarnation in members]
        if len(kept) < CANDIDATES:
            known = {one.incarnation for one in kept}
            drawn = [one for one in members.sample(CANDIDATES) if one.incarnation not in known]
            kept += drawn[: CANDIDATES - len(kept)]
        self._preferred[service] = kept
        return kept

    def _join(self, state: BackendState) -> None:
        members = self._services.setdefault(state.backend.service, IndexedSet())
        if members.add(state.incarnation, state):
            self.membership_changes += 1

    def _leave(self, state: BackendState) -> None:
        members = self._services.get(state.backend.service)
        if members is not None and members.discard(state.incarnation):
            self.membership_changes += 1

    def _notify(self, service: str) -> None:
        for listener in self._listeners:
            listener(service)


def _is_another(known: Backend, backend: Backend) -> bool:
    """Return whether a server's news is of another start, or of another address all the same."""
    return (known.incarnation, known.address) != (backend.incarnation, backend.address)


def choose_backend(
    candidates: Iterable[BackendState], tried: set[str], zone: str
) -> BackendState | None:
    """Choose the server with the most room among those not yet tried.

    Servers that failed lately come last; among equals, one with an open connection, then one of
    this zone.
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
