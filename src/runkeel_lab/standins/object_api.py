"""Stand-in for the platform's object API: versioned objects with watches."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Any

from gevent.event import Event

from runkeel_lab.standins.faults import Fault, FaultKind
from runkeel_lab.standins.http import (
    AnswerAbortedError,
    BadRequestError,
    Request,
    Response,
    error_response,
    json_response,
)
from runkeel_lab.standins.server import StandIn

MAX_HISTORY = 100_000
MAX_WAIT_MS = 60_000


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One revision of an object."""

    kind: str
    name: str
    revision: int
    content: dict[str, Any]

    def to_json(self) -> dict[str, Any]:
        """Return the wire form."""
        return {
            "kind": self.kind,
            "name": self.name,
            "revision": self.revision,
            "content": self.content,
        }


class ObjectStore:
    """Objects with compare-and-swap, and enough history to restore an older state."""

    def __init__(self) -> None:
        self.revision = 0
        self._next_revision = 1
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._base: dict[tuple[str, str], StoredObject] = {}
        self._history: list[StoredObject] = []
        self._lost: list[tuple[int, int]] = []

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None."""
        return self._objects.get((kind, name))

    def changed_after(self, revision: int) -> list[StoredObject]:
        """Return the objects last written after a revision, oldest first."""
        changed = [item for item in self._objects.values() if item.revision > revision]
        return sorted(changed, key=lambda item: item.revision)

    def knows(self, revision: int) -> bool:
        """Return whether a revision belongs to the store's present history."""
        if revision > self.revision:
            return False
        return not any(first <= revision <= last for first, last in self._lost)

    def put(self, kind: str, name: str, expect: int, content: dict[str, Any]) -> bool:
        """Store an object if its revision is ``expect`` (0: it does not exist)."""
        current = self.get(kind, name)
        if (0 if current is None else current.revision) != expect:
            return False
        item = StoredObject(kind, name, self._next_revision, content)
        self.revision = self._next_revision
        self._next_revision += 1
        self._objects[(kind, name)] = item
        self._history.append(item)
        if len(self._history) > MAX_HISTORY:
            self._compact(MAX_HISTORY // 2)
        return True

    def _compact(self, count: int) -> None:
        """Fold the oldest writes into the state that no restore goes behind."""
        self._base.update({(item.kind, item.name): item for item in self._history[:count]})
        del self._history[:count]

    def restore(self, revision: int, reuse_revisions: bool) -> None:
        """Go back to the state at an older revision, or to the oldest one remembered.

        Args:
            revision: what to go back to.
            reuse_revisions: give later writes the numbers of the lost ones again, as a
                store restored without raising its counter does.
        """
        last = self.revision
        self._history = [item for item in self._history if item.revision <= revision]
        kept = [*self._base.values(), *self._history]
        self._objects = {(item.kind, item.name): item for item in kept}
        oldest = max((item.revision for item in self._base.values()), default=0)
        self.revision = min(max(revision, oldest), last)
        if reuse_revisions:
            self._next_revision = self.revision + 1
        elif last > self.revision:
            self._lost.append((self.revision + 1, last))


class ObjectApi(StandIn):
    """Object API over HTTP."""

    kind = "object_api"
    supported_faults = frozenset(
        {
            FaultKind.DOWN,
            FaultKind.SLOW,
            FaultKind.HANG,
            FaultKind.ERROR,
            FaultKind.LOSE_ANSWERS,
            FaultKind.RESTORE_OLDER,
        }
    )

    def reset(self) -> None:
        """Begin with an empty store."""
        self.store = ObjectStore()
        self._changed = Event()
        self._watchers = 0
        self._max_watchers = 0
        self._counts = dict.fromkeys(("list", "get", "put", "conflict", "watch", "lost_answer"), 0)

    def handle(self, request: Request) -> Response:
        """Answer one call of the object API."""
        self.faults.wait_while(FaultKind.HANG)
        parts = request.segments
        if request.method == "GET" and parts == ["v1", "objects"]:
            return self._list()
        if request.method == "GET" and parts == ["v1", "watch"]:
            return self._watch(request)
        if len(parts) == 4 and parts[:2] == ["v1", "objects"]:
            if request.method == "GET":
                return self._get(parts[2], parts[3])
            if request.method == "PUT":
                return self._put(request, parts[2], parts[3])
        return error_response(404, "no such path")

    def _list(self) -> Response:
        self._counts["list"] += 1
        return self._items(self.store.changed_after(0), reset=None)

    def _items(self, items: list[StoredObject], reset: bool | None) -> Response:
        answer: dict[str, Any] = {
            "revision": self.store.revision,
            "items": [item.to_json() for item in items],
        }
        if reset is not None:
            answer["reset"] = reset
        return json_response(200, answer)

    def _get(self, kind: str, name: str) -> Response:
        self._counts["get"] += 1
        item = self.store.get(kind, name)
        return error_response(404, "no such object") if item is None else _object(200, item)

    def _put(self, request: Request, kind: str, name: str) -> Response:
        if "expect" not in request.query:
            raise BadRequestError("expect is required")
        content = request.json_object().get("content")
        if not isinstance(content, dict):
            raise BadRequestError("content must be an object")
        self._counts["put"] += 1
        stored = self.store.put(kind, name, request.integer("expect", 0), content)
        current = self.store.get(kind, name)
        self._journal_put(request, kind, name, stored)
        if stored:
            self._wake_watchers()
        else:
            self._counts["conflict"] += 1
        self._maybe_lose_answer(request)
        if stored and current is not None:
            return _object(200, current)
        return json_response(409, {"object": None if current is None else current.to_json()})

    def _journal_put(self, request: Request, kind: str, name: str, stored: bool) -> None:
        current = self.store.get(kind, name)
        self.journal.write(
            "stored" if stored else "conflict",
            path=request.path,
            object_kind=kind,
            name=name,
            expect=request.integer("expect", 0),
            revision=0 if current is None else current.revision,
            content=current.content if stored and current is not None else None,
        )

    def _maybe_lose_answer(self, request: Request) -> None:
        fault = self.faults.active(FaultKind.LOSE_ANSWERS)
        if fault is None or self.random.random() >= fault.fraction:
            return
        self._counts["lost_answer"] += 1
        self.journal.write("answer_lost", path=request.path)
        request.connection.abort()
        raise AnswerAbortedError

    def _watch(self, request: Request) -> Response:
        since = request.integer("since", 0)
        wait_ms = min(request.integer("wait_ms", 0), MAX_WAIT_MS)
        self._counts["watch"] += 1
        self._watchers += 1
        self._max_watchers = max(self._max_watchers, self._watchers)
        try:
            self._wait_for_change(since, time.monotonic() + wait_ms / 1000)
        finally:
            self._watchers -= 1
        if not self.store.knows(since):
            return self._items([], reset=True)
        return self._items(self.store.changed_after(since), reset=False)

    def _wait_for_change(self, since: int, deadline: float) -> None:
        while self.store.knows(since) and self.store.revision <= since:
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                return
            self._changed.wait(remaining)

    def _wake_watchers(self) -> None:
        self._changed.set()
        self._changed.clear()

    def apply_fault(self, fault: Fault) -> None:
        """Restore an older state, or activate the fault."""
        if fault.kind is not FaultKind.RESTORE_OLDER:
            super().apply_fault(fault)
            return
        self.store.restore(fault.revision, fault.reuse_revisions)
        self._wake_watchers()

    def fault_state(self) -> dict[str, Any]:
        """Return the revision and how many readers there were."""
        return {
            "revision": self.store.revision,
            "watchers": self._watchers,
            "max_watchers": self._max_watchers,
            "calls": dict(self._counts),
        }


def _object(status: int, item: StoredObject) -> Response:
    return json_response(status, item.to_json())
