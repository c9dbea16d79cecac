"""Lease on sending orders to engines: one holder at a time, by compare-and-swap in the store.

Engines are not required to check fencing tokens, so the sender enforces the lease. A holder may
send an order only within :data:`VALIDITY_SECONDS` of the start of a write that confirmed its lease.
A new holder sends no orders until the previous holder's last confirmation has expired and the
configured pause between two holders has passed.
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
"""How long after the start of a confirming write orders may be sent.

A new holder waits at least this long.
"""

MARGIN_SECONDS = 0.2
"""Additional wait of a new holder, for orders of the previous one that are in transit."""

CONFIRMATION_REUSE_SECONDS = 0.2
"""A confirmation up to this age is reused for further orders."""


@dataclass(frozen=True, slots=True)
class _Claim:
    """The lease as of this node's last successful write."""

    content: dict[str, Any]
    revision: int
    confirmed_at: float
    orders_from: float
    """Steady time before which no order may be sent."""


class OrderLease:
    """One node's side of the lease.

    Args:
        pause_seconds: minimum pause between the orders of two holders, in seconds.
    """

    def __init__(self, store: DocumentStore, name: str, holder: str, pause_seconds: float) -> None:
        self._store = store
        self._name = name
        self._holder = holder
        self._pause_seconds = pause_seconds
        self._claim: _Claim | None = None
        self._observed = (0, 0.0)
        self._takeover_unconfirmed = False
        """Whether a write that takes the lease from another holder may have been applied."""
        self._confirming = RLock()
        """Serializes calls to the store, as several tasks of a term use the lease."""

    @property
    def token(self) -> int:
        """Fencing token of the last claim; increases with each change of holder."""
        return int(self._claim.content["token"]) if self._claim else 0

    def confirm(self) -> None:
        """Renew the lease, or take it, even from another holder.

        If another node held it, orders are possible only after a pause.

        Raises:
            RunkeelError: the store did not answer, or another node took the lease.
        """
        with self._confirming:
            self._confirm()

    def _confirm(self) -> None:
        started = steady_seconds()
        if self._claim is None:
            self._acquire(started)
            return
        claim = self._claim
        pause_end_stored = not claim.content["pause"]
        if pause_end_stored and started - claim.confirmed_at <= CONFIRMATION_REUSE_SECONDS:
            return
        content = claim.content
        if content["pause"] and started >= claim.orders_from:
            # Recorded in the lease, so that this node need not wait again after a restart.
            content = {**content, "pause": 0.0}
        try:
            stored = self._store.replace(
                DocumentKind.ORDER_LEASE, self._name, content, claim.revision
            )
        except DocumentConflictError as conflict:
            self._resolve_conflict(conflict, started)
            return
        self._claim = _Claim(content, stored.revision, started, claim.orders_from)

    def seconds_until_orders(self) -> float:
        """Return how many seconds this node has to wait before its first order.

        This is an estimate while this node has no claim.
        """
        if self._claim is None:
            return self._pause_seconds
        return max(0.0, self._claim.orders_from - steady_seconds())

    def check(self) -> None:
        """Raise RunkeelError if no order may be sent now; to be called right before each order."""
        now = steady_seconds()
        claim = self._claim
        if claim is None or now < claim.orders_from:
            raise not_run(
                ErrorCode.STALE_FENCE,
                "the order lease is not held, or the pause after a change of holder is not over",
            )
        if now > claim.confirmed_at + VALIDITY_SECONDS:
            raise not_run(
                ErrorCode.STALE_FENCE, "the last confirmation of the order lease has expired"
            )

    @property
    def confirmation(self) -> tuple[int, float]:
        """Revision of the last confirmation and its age in seconds; revision 0: none."""
        if self._claim is None:
            return 0, 0.0
        return self._claim.revision, steady_seconds() - self._claim.confirmed_at

    def observe(self, revision: int, age_seconds: float) -> None:
        """Record the last confirmation of another holder, as just received from it.

        A successor that finds the lease at this revision counts its pause from that confirmation.
        """
        if revision:
            self._observed = (revision, steady_seconds() - age_seconds)

    def forget(self) -> None:
        """Give up the lease without a write."""
        self._claim = None

    def _acquire(self, started: float) -> None:
        current = self._store.get(DocumentKind.ORDER_LEASE, self._name)
        if current is None:
            content = self._content(1, 0.0)
            stored = self._store.create(DocumentKind.ORDER_LEASE, self._name, content)
            self._accept(stored, content, started)
            return
        self._take_over(current, started)

    def _resolve_conflict(self, conflict: DocumentConflictError, started: float) -> None:
        """Handle a conflict: with another holder, or with an own write whose answer was lost.

        Raises:
            RunkeelError: another node holds the lease, or the store did not answer.
        """
        self._claim = None
        current = conflict.current
        if current is None:
            raise conflict
        if current.content["holder"] == self._holder:
            self._take_over(current, started)
            return
        logger.warning(
            "order lease lost to another holder",
            code="order_lease_lost",
            holder=current.content["holder"],
            token=current.content["token"],
        )
        raise not_run(
            ErrorCode.STALE_FENCE, f"the order lease is held by {current.content['holder']}"
        )

    def _take_over(self, current: Document, started: float) -> None:
        """Make this node the holder, or confirm that it is."""
        content = current.content
        own = content["holder"] == self._holder
        if own and not self._takeover_unconfirmed:
            new_content = dict(content)
        else:
            pause = self._pause_after(current)
            new_content = self._content(int(content["token"]) + (not own), pause)
        self._takeover_unconfirmed = self._takeover_unconfirmed or not own
        stored = self._store.replace(
            DocumentKind.ORDER_LEASE, self._name, new_content, current.revision
        )
        self._accept(stored, new_content, started)

    def _pause_after(self, current: Document) -> float:
        """Return the remaining pause in seconds before this node may send its first order.

        The pause starts at the previous holder's last confirmation if this node has observed it,
        otherwise now.
        """
        pause = VALIDITY_SECONDS + self._pause_seconds + MARGIN_SECONDS
        revision, confirmed_at = self._observed
        if revision != current.revision or self._takeover_unconfirmed:
            return pause
        return max(0.0, confirmed_at + pause - steady_seconds())

    def _accept(self, stored: Document, content: dict[str, Any], started: float) -> None:
        pause = float(content["pause"])
        self._takeover_unconfirmed = False
        self._claim = _Claim(content, stored.revision, started, steady_seconds() + pause)
        logger.info(
            "order lease acquired or found held",
            code="order_lease",
            token=self.token,
            revision=stored.revision,
            orders_in_ms=int(pause * 1000),
        )

    def _content(self, token: int, pause: float) -> dict[str, Any]:
        """Build the content of the lease.

        Args:
            pause: seconds before the first order; 0 once they have passed.
        """
        return {
            "holder": self._holder,
            "token": token,
            "pause": pause,
        }
