"""The platform's metadata store over HTTP, as PROTOCOL.md and NEWS-24.md tell it."""

from __future__ import annotations

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

PREFIX = "/runkeel/objects/"
VALUE_BYTES = 1_048_576
"""Largest object, as the settings tell the nodes (``value_bytes``)."""


class Objects:
    """All objects, with one counter of revisions and their history."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.revision = 0
        self.kinds: dict[str, dict[str, dict[str, Any]]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return an object or None."""
        with self.changed:
            return self.kinds.get(kind, {}).get(name)

    def names(self, kind: str) -> list[str]:
        """Return the names of a kind's objects."""
        with self.changed:
            return sorted(self.kinds.get(kind, {}))

    def put(self, kind: str, name: str, spec: Any, status: Any = None) -> dict[str, Any]:
        """Write an object unconditionally; nothing happens if it is unchanged."""
        with self.changed:
            known = self.kinds.setdefault(kind, {}).get(name)
            if known is not None and known["Spec"] == spec and known["Status"] == status:
                return known
            self.revision += 1
            made = known["Metadata"]["made"] if known else self.revision
            stored = {
                "Metadata": {
                    "Name": name,
                    "Revision": self.revision,
                    "made": made,
                    "finalizers": [],
                    "deleting": False,
                },
                "Spec": spec,
                "Status": status,
            }
            self.kinds[kind][name] = stored
            self._record(kind, stored, gone=False)
            return stored

    def remove(self, kind: str, name: str) -> bool:
        """Remove an object; returns whether it was there."""
        with self.changed:
            known = self.kinds.get(kind, {}).pop(name, None)
            if known is None:
                return False
            self.revision += 1
            self._record(kind, known, gone=True)
            return True

    def _record(self, kind: str, stored: dict[str, Any], gone: bool) -> None:
        self.history.append((self.revision, kind, stored, gone))
        self.changed.notify_all()

    def events(self, kind: str, after: int) -> list[dict[str, Any]]:
        """Return the changes of a kind after a revision; called with the lock held."""
        return [
            {"object": stored, "gone": gone}
            for at, of_kind, stored, gone in self.history
            if at > after and of_kind == kind
        ]


class PlatformStore:
    """Serves the objects; can be down for all of the system's machines.

    Attributes:
        down: while true, every call is answered 503, which means that nothing was done.
        writes: method, kind, name, body size and status of every writing call.
    """

    def __init__(self, host: str) -> None:
        self.objects = Objects()
        self.down = False
        self.answer_seconds = 0.004
        self.writes: list[tuple[float, str, str, str, int, int]] = []
        store = self

        class _Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *arguments: object) -> None:
                """Write no log."""

            def _serve(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length) if length else b""
                time.sleep(store.answer_seconds)
                status, payload = store.handle(self.command, self.path, body)
                data = json.dumps(payload).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def __getattr__(self, name: str) -> Any:
                if name.startswith("do_"):
                    return self._serve
                raise AttributeError(name)

        class _Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, request: Any, client_address: Any) -> None:
                """Ignore connections that a killed node has left."""

        self._server = _Server((host, 0), _Handler)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def address(self) -> str:
        """Host and port."""
        host, port = self._server.server_address[:2]
        return f"{host}:{port}"

    def set_down(self, down: bool) -> None:
        """Begin or end an outage; waiting watches are cut."""
        with self.objects.changed:
            self.down = down
            self.objects.changed.notify_all()

    def handle(self, method: str, target: str, body: bytes) -> tuple[int, Any]:
        """Return status and body of the answer to a call."""
        if self.down:
            return 503, None
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        kind, _, rest = parts.path.removeprefix(PREFIX).partition("/")
        name, _, part = rest.partition("/")
        name = unquote(name)
        if method == "GET":
            return self._read(kind, name, query)
        status, payload = self._write(method, kind, name, part, body)
        self.writes.append((time.monotonic(), method, kind, name, len(body), status))
        return status, payload

    def _read(self, kind: str, name: str, query: dict[str, str]) -> tuple[int, Any]:
        if "watch" in query:
            return self._watch(kind, int(query["watch"]), int(query.get("WaitMs", 0)) / 1000.0)
        if name:
            found = self.objects.get(kind, name)
            return (404, None) if found is None else (200, found)
        with self.objects.changed:
            of_kind = self.objects.kinds.get(kind, {})
            after = query.get("AfterRevision", "")
            items: list[dict[str, Any]] = []
            size = 0
            names = sorted(one for one in of_kind if one > after)
            for one in names:
                size += len(json.dumps(of_kind[one]))
                if items and (size > 1_000_000 or len(items) >= 500):
                    break
                items.append(of_kind[one])
            more = len(items) < len(names)
            return 200, {"Items": items, "more": more, "at": self.objects.revision}

    def _watch(self, kind: str, after: int, wait_seconds: float) -> tuple[int, Any]:
        deadline = time.monotonic() + wait_seconds
        with self.objects.changed:
            while True:
                if self.down:
                    return 503, None
                events = self.objects.events(kind, after)
                remaining = deadline - time.monotonic()
                if events or remaining <= 0:
                    return 200, {"events": events, "at": self.objects.revision}
                self.objects.changed.wait(remaining)

    def _write(self, method: str, kind: str, name: str, part: str, body: bytes) -> tuple[int, Any]:
        sent = json.loads(body) if body else {}
        metadata = sent.get("Metadata") or {}
        with self.objects.changed:
            if method == "DELETE":
                return (200, None) if self.objects.remove(kind, name) else (404, None)
            if len(json.dumps(sent.get("Spec")).encode()) > VALUE_BYTES:
                return 413, {"error": "larger than value_bytes"}
            name = name or metadata.get("Name", "")
            known = self.objects.get(kind, name)
            if method == "POST":
                if known is not None:
                    return 409, known
                return 200, self.objects.put(kind, name, sent.get("Spec"))
            if known is None:
                return 404, None
            revision = metadata.get("Revision")
            if revision is not None and revision != known["Metadata"]["Revision"]:
                return 409, known
            if part == "status":
                return 200, self.objects.put(kind, name, known["Spec"], sent.get("Status"))
            return 200, self.objects.put(kind, name, sent.get("Spec"), known["Status"])
