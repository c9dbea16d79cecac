"""Joins the filters of the callers' path into one part of a node."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any

import gevent

from runkeel.api.http import HttpRoutes
from runkeel.api.interfaces import (
    Configuration,
    Dispatcher,
    EngineDirectory,
    MachineView,
    Membership,
    Ownership,
    PeerClient,
    PeerHandlers,
    Records,
)
from runkeel.api.machines import Machine
from runkeel.api.placement import PlacementPolicy
from runkeel.pauses import PauseDetector
from runkeel.requests.admit import Admission
from runkeel.requests.backend_choice import OwnedBackends, make_client
from runkeel.requests.baselines import make_baseline
from runkeel.requests.claim import Claims
from runkeel.requests.dispatch import AttemptSender
from runkeel.requests.dispatcher import RequestDispatcher
from runkeel.requests.entry import Entry
from runkeel.requests.owner import Owner
from runkeel.requests.place import Placement

SUMMARY_INTERVAL_SECONDS = 0.5
TICK_INTERVAL_SECONDS = 0.05
IDLE_TICK_SECONDS = 1.0
"""Between two ticks while no request waits."""
DRAIN_POLL_SECONDS = 0.02


class RequestService:
    """The entry's and the owner's side of one node."""

    def __init__(
        self,
        membership: Membership,
        configuration: Configuration,
        machines: MachineView,
        ownership: Ownership,
        records: Records,
        peer_client: PeerClient,
        peer_handlers: PeerHandlers,
        routes: HttpRoutes,
        engines: EngineDirectory,
        pauses: PauseDetector,
        generator: random.Random | None = None,
        client_factory: Callable[[Machine], Any] = make_client,
        is_ready: Callable[[], bool] = lambda: True,
        policy: PlacementPolicy = PlacementPolicy.LEAST_LOADED,
    ) -> None:
        self._membership = membership
        generator = generator or random.Random()
        self._backends = OwnedBackends(
            configuration,
            machines,
            ownership,
            engines,
            client_factory,
            make_baseline(policy, generator),
        )
        self._owner = Owner(membership, configuration, self._backends, pauses)
        self._claims = Claims(membership, records, peer_client)
        placement = Placement(
            membership, machines, ownership, generator, make_baseline(policy, generator)
        )
        sender = AttemptSender(membership, peer_client, pauses)
        self._dispatcher = RequestDispatcher(configuration, placement, sender, peer_client)
        admission = Admission(configuration)
        self._entry = Entry(configuration, admission, self._claims, self._dispatcher, is_ready)
        self._tasks: list[gevent.Greenlet] = []
        self._owner.register(peer_handlers)
        self._claims.register(peer_handlers)
        self._entry.register(routes)
        ownership.on_change(self._owner.backends_changed)
        machines.on_change(self._owner.backends_changed)
        configuration.on_change(lambda _kind, _name: self._owner.backends_changed())

    @property
    def dispatcher(self) -> Dispatcher:
        """Runs requests on some back end of a pool; also used by rollouts."""
        return self._dispatcher

    @property
    def claims(self) -> Claims:
        """Claims of requests that may run only once."""
        return self._claims

    def start(self) -> None:
        """Start the part's own tasks."""
        self._owner.backends_changed()
        self._tasks = [gevent.spawn(self._publish), gevent.spawn(self._tick)]

    def stop(self) -> None:
        """Stop the tasks and close the connections to back ends."""
        gevent.killall(self._tasks)
        self._tasks = []
        self._backends.close()

    def drain(self, timeout_seconds: float) -> bool:
        """Make ready for a planned stop; return whether nothing is in flight any more.

        Queued requests are refused with a proof, so that their entry nodes place them elsewhere;
        requests in flight, at the entry and at the back ends, run to their end.
        """
        self._entry.leave()
        self._owner.leave()
        self._membership.publish_summaries([])
        deadline = time.monotonic() + timeout_seconds
        while self._owner.in_flight or self._entry.in_flight:
            if time.monotonic() >= deadline:
                return False
            gevent.sleep(DRAIN_POLL_SECONDS)
        return True

    def _publish(self) -> None:
        while True:
            self._membership.publish_summaries(self._owner.summaries())
            gevent.sleep(SUMMARY_INTERVAL_SECONDS)

    def _tick(self) -> None:
        while True:
            self._owner.wait_for_queued(IDLE_TICK_SECONDS)
            gevent.sleep(TICK_INTERVAL_SECONDS)
            self._owner.tick()
