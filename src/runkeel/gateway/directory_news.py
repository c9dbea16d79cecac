"""Tells the log which servers came, left or changed: one line for all that happened at once."""

from __future__ import annotations

from collections.abc import Iterable

import gevent
from loguru import logger

from runkeel.api.fleet import Backend

GATHER_SECONDS = 0.5
"""News are gathered for so long. A node that starts hears of all servers within it."""

NAMES = 20
"""So many servers are named of each kind of news; the others are counted."""


class BackendChangeLog:
    """What has changed since the last line."""

    def __init__(self) -> None:
        self._joined: dict[str, Backend] = {}
        self._draining: dict[str, Backend] = {}
        self._gone: dict[str, Backend] = {}
        self._changed: set[str] = set()
        self._pending = False

    def put(self, before: Backend | None, backend: Backend) -> None:
        """Take note of a server's new state; ``before`` is None for one that was not known."""
        name = backend.incarnation
        if before is None:
            self._joined[name] = backend
        elif backend.draining and not before.draining:
            self._draining[name] = backend
        else:
            self._changed.add(name)
        self._tell_soon()

    def gone(self, backend: Backend) -> None:
        """Take note of a server that has left."""
        self._gone[backend.incarnation] = backend
        self._tell_soon()

    def _tell_soon(self) -> None:
        if not self._pending:
            self._pending = True
            gevent.spawn_later(GATHER_SECONDS, self.tell)

    def tell(self) -> None:
        """Write the line."""
        self._pending = False
        logger.info(
            "servers changed",
            code="backends",
            joined=_named(self._joined.values()),
            draining=_named(self._draining.values()),
            gone=_named(self._gone.values()),
            joined_count=len(self._joined),
            draining_count=len(self._draining),
            gone_count=len(self._gone),
            changed_count=len(self._changed),
        )
        for news in (self._joined, self._draining, self._gone, self._changed):
            news.clear()


def _named(backends: Iterable[Backend]) -> list[str]:
    """Return id, service and address of servers, as many as are named."""
    names = [f"{one.incarnation} {one.service} {one.address}" for one in backends]
    return names[:NAMES]
