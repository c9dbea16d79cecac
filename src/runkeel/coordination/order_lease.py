"""The right to give orders to engines: one holder at a time, by compare-and-swap in the store.

Engines need not check fences, so the sender does. A holder may send an order only within
:data:`VALIDITY_SECONDS` of a write that confirmed its lease, counted from before that write. A new
holder waits until every such time of the holder before has passed, and the pause between two
holders besides.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from gevent.lock import RLock
from loguru import logger

from runkeel.api.documents import Document, DocumentConflictError, DocumentKind, DocumentStore
from runkeel.clock import steady_seconds
from runkeel.errors import ErrorCode, not_run

VALIDITY_SECONDS = 0.6
"""Orders are sent for so long after a confirmation; a new holder waits it out.

Chosen: three times FRESH_SECONDS.
"""

MARGIN_SECONDS = 0.2
"""A new holder waits so much longer, for an order that was on its way. Chosen, not measured."""

FRESH_SECONDS = 0.2
"""A confirmation of this age need not be renewed before further orders."""


@dataclass(frozen=True, slots=True)
class _Claim:
    """What this node's last successful write says."""

    content: dict[str, Any]
    revision: int
    confirmed_at: float
    orders_from: float
    """Steady time before which no order may be sent."""


class OrderLease:
    """The lease as seen by one node.

    Args:
        pause_seconds: least time between the orders of two holders.
    """

    def __init__(self, store: DocumentStore, name: str, holder: str, pause_seconds: float) -> None:
        self._store = store
        self._name = name
        self._holder = holder
        self._pause_seconds = pause_seconds
        self._claim: _Claim | None = None
        self._observed = (0, 0.0)
        self._unsettled = False
        """A write that takes the lease from another holder is on its way or just done."""
        self._confirming = RLock()
        """Several tasks of a term go by the lease; one asks the store at a time."""

    @property
    def token(self) -> int:
        """Fencing token of the last claim; rises with each change of holder."""
        return int(self._claim.content["token"]) if self._claim else 0

    def confirm(self) -> None:
        """Prove that this node holds the lease, taking it if need be.

        Raises:
            RunkeelError: the store gave no answer or another node took the lease.
        """
        with self._confirming:
            self._confirm()

    def _confirm(self) -> None:
        started = steady_seconds()
        if self._claim is None:
            self._take(started)
            return
        claim = self._claim
        settled = not claim.content["pause"]
        if settled and started - claim.confirmed_at <= FRESH_SECONDS:
            return
        content = claim.content
        if content["pause"] and started >= claim.orders_from:
            # Told in the lease, so that this node need not wait again after a restart.
            content = {**content, "pause": 0.0}
        try:
            stored = self._store.replace(
                DocumentKind.ORDER_LEASE, self._name, content, claim.revision
            )
        except DocumentConflictError as conflict:
            self._settle(conflict, started)
            return
        self._claim = _Claim(content, stored.revision, started, claim.orders_from)

    def seconds_until_orders(self) -> float:
        """Return how long this node has to wait before its first order."""
        if self._claim is None:
            return self._pause_seconds
        return max(0.0, self._claim.orders_from - steady_seconds())

    def check(self) -> None:
        """Call right before an order is sent. Raises RunkeelError when it must not be."""
        now = steady_seconds()
        claim = self._claim
        if claim is None or now < claim.orders_from:
            raise not_run(ErrorCode.STALE_FENCE, "the order lease is not held yet")
        if now > claim.confirmed_at + VALIDITY_SECONDS:
            raise not_run(ErrorCode.STALE_FENCE, "the order lease was not confirmed lately")

    @property
    def confirmation(self) -> tuple[int, float]:
        """Revision of the last confirmation and the seconds since before it; revision 0: none."""
        if self._claim is None:
            return 0, 0.0
        return self._claim.revision, steady_seconds() - self._claim.confirmed_at

    def observe(self, revision: int, age_seconds: float) -> None:
        """Note what another holder told of its last confirmation, at the receipt of its word.

        A successor that finds the lease at this revision knows since when no order was sent.
        """
        if revision:
            self._observed = (revision, steady_seconds() - age_seconds)

    def forget(self) -> None:
        """Give up the lease; nothing is written."""
        self._claim = None

    def _take(self, started: float) -> None:
        current = self._store.get(DocumentKind.ORDER_LEASE, self._name)
        if current is None:
            content = self._content(1, 0.0)
            stored = self._store.create(DocumentKind.ORDER_LEASE, self._name, content)
            self._accept(stored, content, started)
            return
        self._take_over(current, started)

    def _settle(self, conflict: DocumentConflictError, started: float) -> None:
        """A confirmation was refused: an unanswered write of ours, or another holder."""
        self._claim = None
        current = conflict.current
        if current is None:
            raise conflict
        if current.content["holder"] == self._holder:
            self._take_over(current, started)
            return
        logger.warning(
            "order lease lost",
            code="order_lease_lost",
            holder=current.content["holder"],
            token=current.content["token"],
        )
        raise not_run(ErrorCode.STALE_FENCE, f"held by {current.content['holder']}")

    def _take_over(self, current: Document, started: float) -> None:
        """Write this node in as the holder, or confirm that it is."""
        content = current.content
        own = content["holder"] == self._holder
        if own and not self._unsettled:
            new_content = dict(content)
        else:
            pause = self._pause_after(current)
            new_content = self._content(int(content["token"]) + (not own), pause)
        self._unsettled = self._unsettled or not own
        stored = self._store.replace(
            DocumentKind.ORDER_LEASE, self._name, new_content, current.revision
        )
        self._accept(stored, new_content, started)

    def _pause_after(self, current: Document) -> float:
        """Return how long after the last holder's last possible order this node may begin."""
        pause = VALIDITY_SECONDS + self._pause_seconds + MARGIN_SECONDS
        revision, confirmed_at = self._observed
        if revision != current.revision or self._unsettled:
            return pause
        return max(0.0, confirmed_at + pause - steady_seconds())

    def _accept(self, stored: Document, content: dict[str, Any], started: float) -> None:
        pause = float(content["pause"])
        self._unsettled = False
        self._claim = _Claim(content, stored.revision, started, steady_seconds() + pause)
        logger.info(
            "order lease taken",
            code="order_lease",
            token=self.token,
            revision=stored.revision,
            orders_in_ms=int(pause * 1000),
        )

    def _content(self, token: int, pause: float) -> dict[str, Any]:
        return {
            "holder": self._holder,
            "token": token,
            "pause": pause,
        }
