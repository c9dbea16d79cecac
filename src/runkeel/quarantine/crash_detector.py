"""Determines whether a lost connection was caused by a crash of its server.

A broken connection alone is no evidence: resets, network partitions and lost responses break it
too. A server counts as crashed if its address refuses connections, if another server has its
address, or if it restarted under its id or its entry was removed while it was not draining.
Evidence found later counts only if the server has not responded since the connection was lost.
"""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from runkeel.api.fleet import Backend
from runkeel.backends.http_connection import Reachability
from runkeel.clock import steady_seconds
from runkeel.gateway.backends import BackendState

PROBE_TIMEOUT_SECONDS = 0.1
"""Connect timeout when probing a server that may have crashed; retries wait for the probe."""

UNEXPLAINED_LOSS_SECONDS = 10.0
"""How long a lost connection waits for later evidence about its server.

Must exceed the time until the entry of a crashed server expires (3.6 s) and nodes learn of it
(about 2 s).
"""

MAX_UNEXPLAINED_LOSSES = 1_024
"""Maximum number of lost connections of unknown cause; the oldest are dropped first."""


class CrashEvidence(enum.StrEnum):
    """Evidence that a server has crashed."""

    REFUSED = "refused"
    """Its address refused a connection."""
    REPLACED = "replaced"
    """Another server has its address."""
    RESTARTED = "restarted"
    """It has restarted under its id."""
    GONE = "gone"
    """Its entry was removed while it was not draining."""


@dataclass(frozen=True, slots=True)
class LostConnection:
    """A connection lost while a server ran a request; ``lost_at`` is steady time in seconds."""

    request_id: str
    fingerprint: str
    service: str
    state: BackendState
    lost_at: float


CrashListener = Callable[[LostConnection, CrashEvidence], None]
"""Called with each connection that was lost because its server crashed."""


class CrashDetector:
    """Classifies lost connections, immediately or by later evidence about their servers."""

    def __init__(self, on_crash: CrashListener) -> None:
        self._on_crash = on_crash
        self._unexplained: deque[LostConnection] = deque(maxlen=MAX_UNEXPLAINED_LOSSES)

    def classify(self, lost: LostConnection, probe: bool = True) -> None:
        """Classify a lost connection; blocks for at most :data:`PROBE_TIMEOUT_SECONDS`.

        Args:
            probe: whether to probe the server; False if the attempt was abandoned without a
                response.
        """
        if lost.state.replaced:
            if not lost.state.backend.draining:
                self._on_crash(lost, CrashEvidence.RESTARTED)
            return
        if lost.state.ended:
            self._on_crash(lost, CrashEvidence.REFUSED)
            return
        reached = lost.state.pool.probe(PROBE_TIMEOUT_SECONDS) if probe else Reachability.UNKNOWN
        if reached is Reachability.REFUSED:
            lost.state.mark_ended()
            self._on_crash(lost, CrashEvidence.REFUSED)
            return
        logger.info(
            "connection lost, no evidence yet that its server crashed",
            code="server_doubted",
            request=lost.request_id,
            fingerprint=lost.fingerprint,
            backend=lost.state.incarnation,
            reached=str(reached),
        )
        self._unexplained.append(lost)

    def backend_joined(self, backend: Backend) -> None:
        """Handle a new server: any server that had its address before has crashed."""
        if self._unexplained:
            self._resolve(
                lambda state: (
                    state.incarnation != backend.incarnation
                    and state.backend.address == backend.address
                ),
                CrashEvidence.REPLACED,
            )

    def address_taken(self, state: BackendState) -> None:
        """Handle a response from another server at the address of ``state``."""
        if self._unexplained:
            self._resolve(lambda candidate: candidate is state, CrashEvidence.REPLACED)

    def backend_restarted(self, state: BackendState) -> None:
        """Handle a restart of a server: its previous process crashed unless it was draining."""
        if self._unexplained and not state.backend.draining:
            self._resolve(lambda candidate: candidate is state, CrashEvidence.RESTARTED)

    def backend_gone(self, state: BackendState) -> None:
        """Handle the removal of a server's entry."""
        if self._unexplained and not state.backend.draining:
            self._resolve(lambda candidate: candidate is state, CrashEvidence.GONE)

    def _resolve(self, matches: Callable[[BackendState], bool], evidence: CrashEvidence) -> None:
        oldest = steady_seconds() - UNEXPLAINED_LOSS_SECONDS
        pending = [lost for lost in self._unexplained if lost.lost_at > oldest]
        self._unexplained.clear()
        for lost in pending:
            if not matches(lost.state):
                self._unexplained.append(lost)
            elif lost.state.last_response_at < lost.lost_at:
                self._on_crash(lost, evidence)
