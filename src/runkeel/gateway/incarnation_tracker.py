"""Determines whether an update of a server is of its current, a new or a previous incarnation.

A server may restart under the same id, and then has lost all its state. Servers may report the time
of their start, which identifies the incarnation. It is only compared for equality, as a machine's
clock may jump back. Updates are ordered by the revision of the server's entry, which never
decreases.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace

from runkeel.api.fleet import Backend
from runkeel.api.machines import Address

MAX_PREVIOUS_STARTS = 8
"""Maximum number of previous starts remembered per server id, to ignore their late updates."""

INFERRED_PREFIX = "r"
"""Prefix of a start that was inferred rather than reported; the entry's revision follows."""


@dataclass(slots=True)
class _ServerRecord:
    """The current start of a server id, and its previous ones."""

    start: str
    address: Address
    orders_accepted: int | None
    previous: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_PREVIOUS_STARTS))

    @property
    def reported(self) -> bool:
        """Whether the server itself reported the current start."""
        return is_reported(self.start)

    def begin(self, start: str) -> None:
        """Replace the current start by a new one."""
        self.previous.append(self.start)
        self.start = start
        self.orders_accepted = None


class IncarnationTracker:
    """Current and previous starts of each server id."""

    def __init__(self) -> None:
        self._known: dict[str, _ServerRecord] = {}

    def resolve(self, backend: Backend, revision: int) -> Backend | None:
        """Return the entry with its start filled in; None if it is of a previous incarnation.

        Args:
            backend: the server as its entry describes it.
            revision: revision of the entry, higher than that of any earlier entry of the id.
        """
        known = self._known.get(backend.backend_id)
        if known is None:
            self._known[backend.backend_id] = _ServerRecord(
                backend.start, backend.address, backend.orders_accepted
            )
            return backend
        if backend.start:
            if backend.start in known.previous:
                return None
            if backend.start != known.start:
                known.begin(backend.start)
        elif _implies_new_start(known, backend):
            known.begin(f"{INFERRED_PREFIX}{revision}")
        known.address = backend.address
        if backend.orders_accepted is not None:
            known.orders_accepted = backend.orders_accepted
        return replace(backend, start=known.start)

    def record_reported_start(self, backend: Backend, start: str) -> Backend | None:
        """Return the new incarnation that a server's response reveals, None if it reveals none.

        Responses are ignored if the server's entry doesn't report starts to compare with.

        Args:
            backend: the server as known when the request was sent.
            start: the start reported in the response, empty if it has none.
        """
        known = self._known.get(backend.backend_id)
        if not start or known is None or not known.reported:
            return None
        if start == known.start or start in known.previous:
            return None
        known.begin(start)
        return replace(backend, start=start, model_versions={}, orders_accepted=None)

    def forget(self, backend_id: str) -> None:
        """Remove a server id whose entry was deleted."""
        self._known.pop(backend_id, None)


def _implies_new_start(known: _ServerRecord, backend: Backend) -> bool:
    """Return whether an entry without a start implies a new incarnation.

    While a server runs, its count of orders never decreases and its address never changes.
    """
    before, now = known.orders_accepted, backend.orders_accepted
    orders_decreased = before is not None and now is not None and now < before
    return orders_decreased or backend.address != known.address


def is_reported(start: str) -> bool:
    """Return whether the server itself reported a start, so that it is the same on all nodes."""
    return bool(start) and not start.startswith(INFERRED_PREFIX)
