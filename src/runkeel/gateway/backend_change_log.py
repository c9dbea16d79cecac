"""Logs which servers joined, left or changed, batching the changes into one line."""

from __future__ import annotations

from collections.abc import Iterable

import gevent
from loguru import logger

from runkeel.api.fleet import Backend

BATCH_SECONDS = 0.5
"""Time for which changes are batched; covers the initial updates of all servers at startup."""

MAX_LISTED = 20
"""Maximum number of servers listed per kind of change; further ones are only counted."""


class BackendChangeLog:
    """Changes of the backend directory since the last log line."""

    def __init__(self) -> None:
        self._joined: dict[str, Backend] = {}
        self._draining: dict[str, Backend] = {}
        self._gone: dict[str, Backend] = {}
        self._changed: set[str] = set()
        self._pending = False

    def record_update(self, before: Backend | None, backend: Backend) -> None:
        """Record an update of a server; ``before`` is None if the server is new."""
        name = backend.incarnation
        if before is None:
            self._joined[name] = backend
        elif backend.draining and not before.draining:
            self._draining[name] = backend
        else:
            self._changed.add(name)
        self._schedule_flush()

    def record_departure(self, backend: Backend) -> None:
        """Record that a server has left."""
        self._gone[backend.incarnation] = backend
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if not self._pending:
            self._pending = True
            gevent.spawn_later(BATCH_SECONDS, self.flush)

    def flush(self) -> None:
        """Log the batched changes and clear them."""
        self._pending = False
        logger.info(
            "servers changed",
            code="backends",
            joined=_described(self._joined.values()),
            draining=_described(self._draining.values()),
            gone=_described(self._gone.values()),
            joined_count=len(self._joined),
            draining_count=len(self._draining),
            gone_count=len(self._gone),
            changed_count=len(self._changed),
        )
        for changes in (self._joined, self._draining, self._gone, self._changed):
            changes.clear()


def _described(backends: Iterable[Backend]) -> list[str]:
    """Return incarnation, service and address of up to MAX_LISTED servers."""
    names = [f"{one.incarnation} {one.service} {one.address}" for one in backends]
    return names[:MAX_LISTED]
