"""Decides which start of a server news tells of: the known one, a new one, or one before.

A server may start again under the id that it had, and then holds and knows nothing of before. It
tells the time of its start where it tells it at all; that time is compared for being another one,
never for being later, since a machine's clock may jump back. News is ordered by the revisions of
the server's entry, which a copy never takes backwards.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace

from runkeel.api.fleet import Backend
from runkeel.api.machines import Address

EARLIER_STARTS = 8
"""Starts of one id that are known to be over. News of them is a few seconds late at the most: an
entry that was on its way when its server ended, a report that was under way."""

COUNTED = "r"
"""Begins the name of a start that was found by its count of orders, before the entry's revision."""


@dataclass(slots=True)
class _Known:
    """The start that is taken for the present one, and those before it."""

    start: str
    address: Address
    orders_taken: int | None
    earlier: deque[str] = field(default_factory=lambda: deque(maxlen=EARLIER_STARTS))

    @property
    def told(self) -> bool:
        """Whether the server itself said when it began."""
        return is_told(self.start)

    def begin(self, start: str) -> None:
        """Take a new start."""
        self.earlier.append(self.start)
        self.start = start
        self.orders_taken = None


class ServerStarts:
    """What is known of the starts of each id."""

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}

    def settle(self, backend: Backend, revision: int) -> Backend | None:
        """Return an entry with the name of the start that it tells of; None: of one before.

        Args:
            revision: of the entry, larger than those of all entries of the id before.
        """
        known = self._known.get(backend.backend_id)
        if known is None:
            self._known[backend.backend_id] = _Known(
                backend.start, backend.address, backend.orders_taken
            )
            return backend
        if backend.start:
            if backend.start in known.earlier:
                return None
            if backend.start != known.start:
                known.begin(backend.start)
        elif _shows_new_start(known, backend):
            known.begin(f"{COUNTED}{revision}")
        known.address = backend.address
        if backend.orders_taken is not None:
            known.orders_taken = backend.orders_taken
        return replace(backend, start=known.start)

    def note_reported(self, backend: Backend, start: str) -> Backend | None:
        """Return the new start that a server's own answer shows; None: it shows none.

        An answer of a server whose entry says nothing of starts can't be compared with it.

        Args:
            backend: as it was known when the server was asked.
            start: as the answer tells it, empty if it doesn't.
        """
        known = self._known.get(backend.backend_id)
        if not start or known is None or not known.told:
            return None
        if start == known.start or start in known.earlier:
            return None
        known.begin(start)
        return replace(backend, start=start, model_versions={}, orders_taken=None)

    def forget(self, backend_id: str) -> None:
        """Forget an id whose entry has gone."""
        self._known.pop(backend_id, None)


def _shows_new_start(known: _Known, backend: Backend) -> bool:
    """Return whether an entry shows a new start though it doesn't tell one.

    A count of orders only grows, and a server keeps its address, as long as it runs.
    """
    before, now = known.orders_taken, backend.orders_taken
    counts_anew = before is not None and now is not None and now < before
    return counts_anew or backend.address != known.address


def is_told(start: str) -> bool:
    """Return whether a server itself told a start, so that all nodes name it alike."""
    return bool(start) and not start.startswith(COUNTED)
