"""Owner's side of swap permits: wants, holds and renews them in one declaration."""

from __future__ import annotations

import random
import time

import gevent
from gevent.event import Event

from runkeel.api.interfaces import Membership, PeerClient
from runkeel.errors import RunkeelError
from runkeel.weights.coordinator_choice import CoordinatorChoice
from runkeel.weights.permits import SwapKey
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.weights.ttypes import EngineKey, PermitReply, PermitRequest

DECLARATION_WAIT_MS = 1_500
"""How long the coordinator may keep a call open."""
CALL_MARGIN_SECONDS = 2.0
RETRY_SECONDS = 0.5
RENEW_SECONDS = 1.5
"""Pause between renewals of an owner that holds permits and wants none."""


class PermitClient:
    """Wants and holds permits for this node's engines; one task declares them."""

    def __init__(self, membership: Membership, peers: PeerClient) -> None:
        self._membership = membership
        self._peers = peers
        self._choice = CoordinatorChoice(membership)
        self._wants: set[SwapKey] = set()
        self._holds: dict[SwapKey, float] = {}
        """Held permits and when their lease ends."""
        self._granted = Event()
        self._dirty = Event()
        self._sequence = 0
        self._failures = 0
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start declaring."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop; held permits lapse with their leases."""
        if self._task is not None:
            self._task.kill()

    def acquire(self, key: SwapKey, timeout_seconds: float) -> bool:
        """Wait for a permit; return whether it was granted in time."""
        deadline = time.monotonic() + timeout_seconds
        self._wants.add(key)
        self._dirty.set()
        try:
            while not self.holds(key):
                remaining = deadline - time.monotonic()
                if remaining <= 0:
                    return False
                self._granted.wait(remaining)
            return True
        finally:
            self._wants.discard(key)

    def holds(self, key: SwapKey) -> bool:
        """Return whether the permit is held and its lease has not lapsed."""
        return self._holds.get(key, 0.0) > time.monotonic()

    def release(self, key: SwapKey, failed: bool = False) -> None:
        """Give a permit back."""
        self._wants.discard(key)
        self._holds.pop(key, None)
        self._failures += int(failed)
        self._dirty.set()

    def _run(self) -> None:
        while True:
            if not self._wants - set(self._holds):
                self._dirty.wait(RENEW_SECONDS if self._holds else None)
            self._dirty.clear()
            call = gevent.spawn(self._declare)
            gevent.wait([call, self._dirty], count=1)
            if call.ready() and not call.value:
                gevent.sleep(RETRY_SECONDS * random.uniform(0.5, 1.5))

    def _declare(self) -> bool:
        """Declare once; return whether a coordinator answered."""
        self._sequence += 1
        sequence = self._sequence
        asked_at = time.monotonic()
        failures, self._failures = self._failures, 0
        request = PermitRequest(
            incarnation=self._membership.local().incarnation,
            sequence=sequence,
            zone=self._membership.zone,
            wants=[EngineKey(key.model, key.backend_id) for key in self._wants - set(self._holds)],
            holds=[EngineKey(key.model, key.backend_id) for key in self._holds],
            wait_ms=DECLARATION_WAIT_MS,
            failures=failures,
        )
        try:
            reply = self._peers.call(
                self._choice.node_id(),
                MessageType.WEIGHTS_PERMIT,
                request,
                PermitReply,
                DECLARATION_WAIT_MS / 1000 + CALL_MARGIN_SECONDS,
            )
        except RunkeelError:
            self._failures += failures
            return False
        if reply.coordinator and sequence == self._sequence:
            self._take(reply, asked_at)
        return reply.coordinator

    def _take(self, reply: PermitReply, asked_at: float) -> None:
        lease_ends_at = asked_at + reply.lease_ms / 1000
        granted = set(reply.granted)
        for key in self._wants | set(self._holds):
            if key.backend_id in granted:
                self._holds[key] = lease_ends_at
        self._granted.set()
        self._granted.clear()
