"""Servers of the platform: an application server, and a model server that streams events.

Run as a program, one server each: ``python3 servers.py JSON``, with the fields of ``Server``. It
prints its port, then a line of JSON for each request that it begins, ends or breaks off.
"""

from __future__ import annotations

import json
import socket
import sys
import threading
import time
from typing import Any

FIRST_TOKEN_SECONDS = 0.03
"""Time until an answer begins."""


class Server:
    """One server, on raw sockets.

    Args:
        settings: ``Id``, ``Host`` (address to listen on), ``Kind`` (``app`` or ``model``), and for
            model servers ``EventMs`` (pause between events), ``Framed`` (whether answers tell their
            length), ``HalfEventOf`` (path of the request of which one event is written in two
            parts), ``HalfAt`` (number of that event), ``HalfMs`` (time between the parts), and
            ``ExtraOf`` (path of the request whose answer is sent once more, in the place of the
            next answer on its connection).
    """

    def __init__(self, settings: dict[str, Any]) -> None:
        self._settings = settings
        self._lock = threading.Lock()
        self._versions: dict[str, int] = dict(settings.get("Versions", {}))
        self._sequence = 0
        self._extras: dict[socket.socket, bytes] = {}
        """Answers that are still to be sent once more, by connection."""
        self._listener = socket.create_server((settings["Host"], 0), backlog=128)
        self.port = self._listener.getsockname()[1]

    def serve(self) -> None:
        """Accept connections until the process is killed."""
        while True:
            connection, _ = self._listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve_connection, args=(connection,), daemon=True).start()

    def note(self, **fields: Any) -> None:
        """Print what happened, for the record."""
        with self._lock:
            print(json.dumps({"server": self._settings["Id"], **fields}), flush=True)

    def _serve_connection(self, connection: socket.socket) -> None:
        reader = connection.makefile("rb")
        try:
            while (request := _read_request(reader)) is not None:
                if not self._answer(connection, *request):
                    break
        except OSError:
            pass
        finally:
            reader.close()
            connection.close()

    def _answer(
        self,
        connection: socket.socket,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> bool:
        """Answer a request; returns whether the connection is kept."""
        expected = headers.get("expect-instance")
        if expected and expected != self._settings["Id"]:
            return _send(connection, 421, [], b"")
        if path == "/runkeel/report":
            return _send(connection, 200, [("Content-Type", "application/json")], self._report())
        if path == "/runkeel/order":
            return self._order(connection, json.loads(body))
        if path == "/healthz":
            return _send(connection, 200, [("Instance-Id", self._settings["Id"])], b"")
        if self._settings["Kind"] == "app":
            return self._run(connection, method, path, headers, body)
        with self._lock:
            extra = self._extras.pop(connection, None)
        if extra is not None:
            self.note(extra=path)
            connection.sendall(extra)
        return self._stream(connection, path, headers)

    def _report(self) -> bytes:
        models = [
            {"Name": one, "Version": at, "Adapters": []} for one, at in self._versions.items()
        ]
        report = {"Stage": "both", "Models": models, "Busy": False, "Sequence": self._sequence}
        return json.dumps({**report, "QueuedCount": 0, "RunningCount": 0, "Handles": 0}).encode()

    def _order(self, connection: socket.socket, order: dict[str, Any]) -> bool:
        self._sequence += 1
        self._versions[order["Model"]] = order["Version"]
        holder, token = order["Holder"], order["FencingToken"]
        self.note(order=order["Version"], sequence=self._sequence, holder=holder, token=token)
        return _send(connection, 202, [], b"")

    def _run(
        self,
        connection: socket.socket,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> bool:
        attempt = headers.get("attempt-id", "")
        self.note(began=attempt, path=path, method=method)
        time.sleep(0.02)
        stamp = f"{self._settings['Id']}.{attempt}"
        answer = [("Attempt-Id", attempt), ("Server-Stamp", stamp)]
        return _send(connection, 200, answer, b"answer to " + attempt.encode())

    def _stream(self, connection: socket.socket, path: str, headers: dict[str, str]) -> bool:
        """Stream the events of a request: event n has the data that ``event_data`` returns."""
        attempt = headers.get("attempt-id", "")
        after = int(headers.get("last-event-id") or 0)
        framed = self._settings.get("Framed", True)
        version = self._versions.get(headers.get("model", ""), 1)
        self.note(began=attempt, path=path, after=after, version=version)
        lines = [
            "HTTP/1.1 200 OK",
            f"Attempt-Id: {attempt}",
            "Content-Type: text/event-stream",
            f"Server-Stamp: {self._settings['Id']}.{attempt}",
            f"Weight-Versions: {version}",
            "Transfer-Encoding: chunked" if framed else "Connection: close",
        ]
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        time.sleep(FIRST_TOKEN_SECONDS)
        if path == self._settings.get("ExtraOf"):
            self._extras[connection] = head + b"0\r\n\r\n"
        try:
            connection.sendall(head)
            self._send_events(connection, path, attempt, after, version, headers.get("model", ""))
        except OSError:
            self.note(dropped=attempt, path=path)
            raise
        self.note(ended=attempt, path=path, version=version)
        return framed

    def _send_events(
        self,
        connection: socket.socket,
        path: str,
        attempt: str,
        after: int,
        version: int,
        model: str,
    ) -> None:
        framed = self._settings.get("Framed", True)
        count = event_count(path)
        for number in range(after + 1, count + 1):
            time.sleep(self._settings.get("EventMs", 20) / 1000.0)
            event = f"id: {number}\ndata: {event_data(path, number)}\n\n"
            if self._versions.get(model, 1) != version:
                version = self._versions[model]
                event = f"weight-versions: {version}\n{event}"
            event = event.encode()
            if path == self._settings.get("HalfEventOf") and number == self._settings["HalfAt"]:
                half = len(event) // 2
                connection.sendall(event[:half])
                self.note(half=attempt, path=path, event=number)
                time.sleep(self._settings["HalfMs"] / 1000.0)
                event = event[half:]
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event) if framed else event)
        if framed:
            connection.sendall(b"0\r\n\r\n")


def event_count(path: str) -> int:
    """Return the number of events of a request, which its path ends with: ``.../NAME-COUNT``."""
    return int(path.rpartition("-")[2])


def event_data(path: str, number: int) -> str:
    """Return the data of an event."""
    return f"{path.rpartition('/')[2]} event {number} of {event_count(path)}"


def whole_text(path: str) -> str:
    """Return the whole output of a request."""
    return "\n".join(event_data(path, number) for number in range(1, event_count(path) + 1))


def _read_request(reader: Any) -> tuple[str, str, dict[str, str], bytes] | None:
    line = reader.readline()
    if not line.strip():
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers: dict[str, str] = {}
    while (line := reader.readline()).strip():
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length") or 0)
    return method, target.partition("?")[0], headers, reader.read(length) if length else b""


_REASONS = {200: "OK", 202: "Accepted", 421: "Misdirected Request"}


def _send(
    connection: socket.socket, status: int, headers: list[tuple[str, str]], body: bytes
) -> bool:
    lines = [f"HTTP/1.1 {status} {_REASONS[status]}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    return True


def main() -> None:
    """Run one server."""
    server = Server(json.loads(sys.argv[1]))
    print(json.dumps({"port": server.port}), flush=True)
    server.serve()


if __name__ == "__main__":
    main()
