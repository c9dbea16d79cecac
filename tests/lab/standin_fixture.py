"""Runs stand-ins inside a test's process and talks to them without ever retrying."""

from __future__ import annotations

import http.client
import json
import tempfile
import unittest
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import gevent

from runkeel_lab.standins.engine.tokens import expected_token
from runkeel_lab.standins.faults import Fault
from runkeel_lab.standins.server import StandIn, StandInSettings

TIMEOUT_SECONDS = 10.0


@dataclass
class Answer:
    status: int
    headers: http.client.HTTPMessage
    body: bytes

    @property
    def json(self) -> Any:
        return json.loads(self.body)


class StandInTestCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self._standins: list[StandIn] = []
        self._tasks: list[gevent.Greenlet] = []

    def tearDown(self):
        # Before the clean-ups, which close connections that tasks may still read from.
        for standin in self._standins:
            standin.stop()
        gevent.joinall(self._tasks, timeout=TIMEOUT_SECONDS)

    def start(
        self, standin_class: type[StandIn], standin_id: str = "s", pool: str = "", **options
    ) -> StandIn:
        options = {"journal": str(self.folder / f"{standin_id}.jsonl"), **options}
        standin = standin_class(StandInSettings(standin_id, pool=pool, options=options))
        standin.start()
        self._standins.append(standin)
        return standin

    def journal(self, standin_id: str = "s", *events: str) -> list[dict[str, Any]]:
        lines = (self.folder / f"{standin_id}.jsonl").read_text().splitlines()
        records = [json.loads(line) for line in lines]
        return [record for record in records if not events or record["event"] in events]

    def open(
        self, standin: StandIn, method: str, target: str, body: object = None, headers=None
    ) -> tuple[http.client.HTTPConnection, http.client.HTTPResponse]:
        connection = http.client.HTTPConnection(
            standin.address.host, standin.address.port, timeout=TIMEOUT_SECONDS
        )
        self.addCleanup(connection.close)
        data = body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
        connection.request(method, target, data, headers or {})
        return connection, connection.getresponse()

    def call(self, standin: StandIn, method: str, target: str, body=None, headers=None) -> Answer:
        _, response = self.open(standin, method, target, body, headers)
        return Answer(response.status, response.headers, response.read())

    def background(self, function, *arguments, **named) -> gevent.Greenlet:
        """Run a call in its own task; a broken answer is returned, not raised."""

        def run():
            try:
                return function(*arguments, **named)
            except (OSError, http.client.HTTPException) as error:
                return error

        self._tasks.append(gevent.spawn(run))
        return self._tasks[-1]

    def fault(self, standin: StandIn, kind: str, **fields) -> None:
        standin.set_fault(Fault(kind=kind, **fields))

    def wait_until(self, condition) -> None:
        with gevent.Timeout(TIMEOUT_SECONDS):
            while not condition():
                gevent.sleep(0.005)


class Completion:
    """A streamed completion, read event by event."""

    def __init__(self, test: StandInTestCase, engine: StandIn, request_id: str, **fields) -> None:
        self.model = engine.settings.pool
        self.prompt = fields.setdefault("prompt", "rice for petrolina")
        body = {"request_id": request_id, "model": self.model, "max_tokens": 20, **fields}
        self._connection, self._response = test.open(engine, "POST", "/v1/completions", body)
        self.status = self._response.status
        self.done = False
        self.seen: list[dict[str, Any]] = []

    def events(self) -> Iterator[dict[str, Any]]:
        """Yield events; raises like ``http.client`` when the stream is cut."""
        rest = b""
        while chunk := self._response.read1(65_536):
            *lines, rest = (rest + chunk).split(b"\n")
            for data in filter(None, (line.removeprefix(b"data: ") for line in lines)):
                if data == b"[DONE]":
                    self.done = True
                    continue
                self.seen.append(json.loads(data))
                yield self.seen[-1]

    def abandon(self) -> None:
        """Close the connection in the middle of the stream."""
        self._response.close()
        self._connection.close()

    def read(self) -> Completion:
        for _ in self.events():
            pass
        return self

    @property
    def tokens(self) -> list[int]:
        return [token for event in self.seen for token in event["token_ids"]]

    @property
    def finish_reason(self) -> str | None:
        return self.seen[-1]["finish_reason"]

    def wrong_tokens(self) -> list[dict[str, Any]]:
        """Events whose tokens are not those of the version that they name."""
        return [
            event
            for event in self.seen
            if event["token_ids"]
            != [
                expected_token(self.model, event["weight_version"], self.prompt, position)
                for position in range(
                    event["position"], event["position"] + len(event["token_ids"])
                )
            ]
        ]
