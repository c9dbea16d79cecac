"""The platform's metadata store over HTTP, with injected outages and lost responses."""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs, unquote

import gevent
from gevent.pywsgi import WSGIServer

from runkeel.api.documents import (
    Document,
    DocumentConflictError,
    DocumentRejectedError,
    Freshness,
    HistoryDiscardedError,
)
from runkeel.api.machines import Address
from runkeel.clock import steady_seconds
from runkeel.errors import RunkeelError
from runkeel_lab.standins.document_store import MemoryDocumentStore
from runkeel_lab.standins.http import Handler, ResponseAbortedError

_COLLECTION = "/runkeel/objects/"
_CONNECTION = "runkeel.connection"
_HANG_SECONDS = 60.0
_WRITES = ("POST", "PUT", "DELETE")
_STATUSES = {
    200: "OK",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    503: "Unavailable",
}


class StoreServer:
    """Serves a document store through the platform's HTTP API.

    Attributes:
        objects: the stored objects; kinds have the platform's names.
        lost_share: share of the writes that are executed without a response.
        refused: every call gets 503 without being executed.
        silent: every call hangs without being executed.
        slow_seconds: added latency of every call, in seconds.
        calls: number of calls received.

    Args:
        parent: server whose store this one serves at another address. This one has faults of its
            own; those of ``parent`` apply as well.
    """

    def __init__(self, seed: int, parent: StoreServer | None = None) -> None:
        self._parent = parent
        self.objects = parent.objects if parent else MemoryDocumentStore()
        self.lost_share = 0.0
        self.refused = False
        self.silent = False
        self.slow_seconds = 0.0
        self.calls = 0
        self._hung_at: dict[str, float] = parent._hung_at if parent else {}
        self._random = random.Random(seed)
        self._server = WSGIServer(
            ("127.0.0.1", 0), self._handle_request, log=None, handler_class=Handler
        )

    @property
    def address(self) -> Address:
        return Address("127.0.0.1", self._server.server_port)

    def hang_watches(self, kind: str) -> None:
        """Withhold the responses to current watches of a kind, with their connections open."""
        self._hung_at[kind] = steady_seconds()

    def start(self) -> None:
        self._server.start()

    def stop(self) -> None:
        """Close the listener and every connection."""
        self._server.stop(timeout=0)

    def _handle_request(
        self, environment: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        method = environment["REQUEST_METHOD"]
        body = environment["wsgi.input"].read()
        self.calls += 1
        endpoints = (self, self._parent) if self._parent else (self,)
        gevent.sleep(sum(endpoint.slow_seconds for endpoint in endpoints))
        status, payload = 503, None
        if not any(endpoint.silent or endpoint.refused for endpoint in endpoints):
            status, payload = self._handle(method, environment, json.loads(body) if body else {})
        # A watch may have started before the fault was injected.
        if any(endpoint.silent for endpoint in endpoints):
            gevent.sleep(_HANG_SECONDS)
        if method == "GET" and any(endpoint.refused for endpoint in endpoints):
            status, payload = 503, None
        lost_share = max(endpoint.lost_share for endpoint in endpoints)
        if method in _WRITES and self._random.random() < lost_share:
            environment[_CONNECTION].abort()
            raise ResponseAbortedError
        start_response(f"{status} {_STATUSES[status]}", [("Content-Type", "application/json")])
        return [json.dumps(payload).encode()]

    def _handle(
        self, method: str, environment: dict[str, Any], body: dict[str, Any]
    ) -> tuple[int, Any]:
        path = environment["PATH_INFO"].removeprefix(_COLLECTION)
        kind, _, rest = path.partition("/")
        name, _, part = rest.partition("/")
        query = {key: values[0] for key, values in parse_qs(environment["QUERY_STRING"]).items()}
        try:
            if method == "GET":
                return self._read(kind, unquote(name), query)
            return self._write(method, kind, unquote(name), part, body)
        except DocumentConflictError as conflict:
            return 409, None if conflict.current is None else _object(conflict.current)
        except DocumentRejectedError:
            return 413, None
        except HistoryDiscardedError:
            return 410, None
        except RunkeelError:
            return 503, None

    def _read(self, kind: str, name: str, query: dict[str, str]) -> tuple[int, Any]:
        if "watch" in query:
            wait = float(query.get("WaitMs", 0)) / 1000.0
            started = steady_seconds()
            changes = self.objects.watch(kind, int(query["watch"]), wait)
            if started < self._hung_at.get(kind, 0.0):
                gevent.sleep(_HANG_SECONDS)
            events = [
                {"object": _object(change.document), "gone": change.removed}
                for change in changes.changes
            ]
            return 200, {"events": events, "at": changes.revision}
        freshness = Freshness.STALE_ALLOWED if query.get("stale") == "1" else Freshness.CURRENT
        if name:
            document = self.objects.get(kind, name, freshness=freshness)
            return (404, None) if document is None else (200, _object(document))
        listing = self.objects.list(kind, freshness=freshness)
        items = [_object(document) for document in listing.documents]
        return 200, {"Items": items, "more": False, "at": listing.revision}

    def _write(
        self, method: str, kind: str, name: str, part: str, body: dict[str, Any]
    ) -> tuple[int, Any]:
        metadata = body.get("Metadata") or {}
        if method == "POST":
            return 200, _object(self.objects.create(kind, metadata["Name"], body.get("Spec")))
        if method == "DELETE":
            self.objects.delete(kind, name)
            return 200, None
        if part == "status":
            self.objects.set_status(kind, name, body.get("Status"))
            return 200, None
        current = self.objects.get(kind, name)
        if current is None:
            return 404, None
        revision = int(metadata.get("Revision", current.revision))
        return 200, _object(self.objects.replace(kind, name, body.get("Spec"), revision))


def _object(document: Document) -> dict[str, Any]:
    return {
        "Metadata": {"Name": document.name, "Revision": document.revision},
        "Spec": document.content,
        "Status": document.status,
    }
