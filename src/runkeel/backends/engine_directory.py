"""Keeps the latest load report of each engine that this node owns."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, replace

import gevent
from loguru import logger

from runkeel.api.interfaces import Ownership
from runkeel.api.machines import Address, EngineStatus, Machine, MachineKind
from runkeel.backends import engine_metrics as metrics
from runkeel.backends.engine_orders import CacheEvent, EngineControlClient
from runkeel.errors import ErrorCode, RunkeelError

POLL_SECONDS = 1.0
POLL_BUDGET_BYTES_PER_SECOND = 1_500
"""All polls of a node together stay below this; with many engines polls become rarer."""
INITIAL_BYTES_PER_POLL = 600
STALE_POLLS = 3.5
"""An engine is unreachable when no poll has succeeded for this many poll intervals."""
FAILED_POLLS = 2
"""So is one that fails this many polls in a row; a refused connection counts for all."""
RETRY_SECONDS = 0.3
"""Pause after a failed poll that leaves the engine in service."""
POLL_TIMEOUT_SECONDS = 1.0
JITTER = 0.2
CACHE_EVENT_WAIT_MS = 500
CACHE_EVENT_PAUSE_SECONDS = 2.0

CacheEventListener = Callable[[str, list[CacheEvent]], None]
ClientFactory = Callable[[Address], EngineControlClient]


def _polling_client(address: Address) -> EngineControlClient:
    return EngineControlClient(address, POLL_TIMEOUT_SECONDS)


@dataclass(slots=True)
class _Engine:
    """An owned engine, its last report and the tasks that follow it."""

    machine: Machine
    client: EngineControlClient
    status: EngineStatus | None = None
    effective_at: float = 0.0
    answered_at: float = 0.0
    failed_polls: int = 0
    in_service: bool = False
    tasks: list[gevent.Greenlet] | None = None


class EngineMonitor:
    """Implements EngineDirectory: one polling task an owned engine."""

    def __init__(
        self,
        ownership: Ownership,
        client_factory: ClientFactory = _polling_client,
        poll_seconds: float = POLL_SECONDS,
    ) -> None:
        self._ownership = ownership
        self._client_factory = client_factory
        self._poll_seconds = poll_seconds
        self._bytes_per_poll = float(INITIAL_BYTES_PER_POLL)
        self._engines: dict[str, _Engine] = {}
        self._held: set[str] = set()
        self._cache_listeners: list[CacheEventListener] = []
        self._service_listeners: list[Callable[[str], None]] = []
        self._running = False

    def start(self) -> None:
        """Follow the engines owned now and from now on."""
        self._running = True
        self._ownership.on_change(self.refresh)
        self.refresh()

    def stop(self) -> None:
        """Stop all tasks."""
        self._running = False
        for backend_id in tuple(self._engines):
            self._forget(backend_id)

    def status(self, backend_id: str) -> EngineStatus | None:
        """Return the last report with its present age, or None."""
        engine = self._engines.get(backend_id)
        if engine is None or engine.status is None:
            return None
        return replace(engine.status, age_seconds=max(0.0, time.monotonic() - engine.effective_at))

    def in_service(self, backend_id: str) -> bool:
        """Return whether new work may go to the engine."""
        engine = self._engines.get(backend_id)
        if engine is None or backend_id in self._held:
            return False
        return self._is_healthy(engine)

    def hold(self, backend_id: str, held: bool) -> None:
        """Stop (or allow again) new work for an engine."""
        if held:
            self._held.add(backend_id)
        else:
            self._held.discard(backend_id)
        engine = self._engines.get(backend_id)
        if engine is not None:
            self._note_service(engine)

    def is_held(self, backend_id: str) -> bool:
        """Return whether new work was stopped by :meth:`hold`."""
        return backend_id in self._held

    def on_cache_events(self, callback: CacheEventListener) -> None:
        """Poll cache events and call back with engine id and events; late and with gaps."""
        self._cache_listeners.append(callback)
        if len(self._cache_listeners) == 1:
            for engine in self._engines.values():
                self._follow_cache(engine)

    def on_service_change(self, callback: Callable[[str], None]) -> None:
        """Call back with the id of an engine that has come into or gone out of service."""
        self._service_listeners.append(callback)

    def observe(self, backend_id: str, status: EngineStatus) -> None:
        """Take a report that another part has read; ignored when older than the held one."""
        engine = self._engines.get(backend_id)
        if engine is None:
            return
        now = time.monotonic()
        engine.answered_at = now
        engine.failed_polls = 0
        effective_at = now - status.age_seconds
        if engine.status is None or effective_at >= engine.effective_at:
            engine.status = status
            engine.effective_at = effective_at
        self._note_service(engine)

    def refresh(self) -> None:
        """Start and stop following engines after a change of ownership."""
        if not self._running:
            return
        owned = {
            machine.machine_id: machine
            for machine in self._ownership.owned()
            if machine.kind is MachineKind.ENGINE and machine.http is not None
        }
        for backend_id, engine in tuple(self._engines.items()):
            machine = owned.get(backend_id)
            if machine is None or machine.http != engine.machine.http:
                self._forget(backend_id)
        for backend_id, machine in owned.items():
            if backend_id not in self._engines:
                self._follow(machine)

    @property
    def poll_interval_seconds(self) -> float:
        """Time between polls of one engine, stretched to keep within the byte budget."""
        wanted = len(self._engines) * self._bytes_per_poll / POLL_BUDGET_BYTES_PER_SECOND
        return max(self._poll_seconds, wanted)

    def _follow(self, machine: Machine) -> None:
        engine = _Engine(machine, self._client_factory(machine.http), tasks=[])
        self._engines[machine.machine_id] = engine
        engine.tasks.append(gevent.spawn(self._poll, engine))
        if self._cache_listeners:
            self._follow_cache(engine)

    def _follow_cache(self, engine: _Engine) -> None:
        engine.tasks.append(gevent.spawn(self._poll_cache_events, engine))

    def _forget(self, backend_id: str) -> None:
        engine = self._engines.pop(backend_id, None)
        if engine is None:
            return
        self._held.discard(backend_id)
        # Not waited for: another change of ownership must not come in between, and a listener
        # may end the ownership from within a task of this engine.
        others = [task for task in engine.tasks if task is not gevent.getcurrent()]
        gevent.killall(others, block=False)
        engine.client.close()
        if engine.in_service:
            self._notify_service(backend_id)

    def _poll(self, engine: _Engine) -> None:
        while True:
            bytes_before = engine.client.exchanged_bytes
            interval = self.poll_interval_seconds
            try:
                status = engine.client.load()
            except RunkeelError as error:
                metrics.ENGINE_POLLS.labels(str(error.code)).inc()
                refused = error.code is ErrorCode.BACKEND_UNREACHABLE
                engine.failed_polls += FAILED_POLLS if refused else 1
                # Only to confirm a failure: polled on at this pace, engines that are merely slow
                # would get the more polls and new connections the slower they are.
                if engine.failed_polls < FAILED_POLLS:
                    interval = min(interval, RETRY_SECONDS)
                self._note_service(engine)
            else:
                metrics.ENGINE_POLLS.labels("ok").inc()
                self._count_bytes(engine.client.exchanged_bytes - bytes_before)
                self.observe(engine.machine.machine_id, status)
            gevent.sleep(interval * random.uniform(1 - JITTER, 1 + JITTER))

    def _count_bytes(self, poll_bytes: int) -> None:
        self._bytes_per_poll += (poll_bytes - self._bytes_per_poll) / 8

    def _poll_cache_events(self, engine: _Engine) -> None:
        client = self._client_factory(engine.machine.http)
        since = 0
        try:
            while True:
                try:
                    since, events = client.cache_events(since, CACHE_EVENT_WAIT_MS)
                except RunkeelError:
                    events = []
                if events:
                    for listener in tuple(self._cache_listeners):
                        listener(engine.machine.machine_id, events)
                gevent.sleep(CACHE_EVENT_PAUSE_SECONDS)
        finally:
            client.close()

    def _is_healthy(self, engine: _Engine) -> bool:
        if engine.status is None or not engine.status.ready:
            return False
        if engine.status.model != engine.machine.pool or engine.failed_polls >= FAILED_POLLS:
            return False
        return time.monotonic() - engine.answered_at < STALE_POLLS * self.poll_interval_seconds

    def _note_service(self, engine: _Engine) -> None:
        backend_id = engine.machine.machine_id
        in_service = self._is_healthy(engine) and backend_id not in self._held
        if in_service == engine.in_service:
            return
        engine.in_service = in_service
        state = "in service" if in_service else "out of service"
        logger.info("engine {} is {}", backend_id, state, code="engine_service")
        self._notify_service(backend_id)

    def _notify_service(self, backend_id: str) -> None:
        for listener in tuple(self._service_listeners):
            listener(backend_id)
