"""The platform's endpoint for usage reports; it records the reports received."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import gevent
from gevent.pywsgi import WSGIServer

from runkeel.api.machines import Address
from runkeel_lab.standins.http import Handler, ResponseAbortedError

_CONNECTION = "runkeel.connection"


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """A usage report that was accepted."""

    window: int
    counts: dict[str, int]
    holder: str
    token: int
    received_at: float
    """Seconds since the epoch."""


class DutyServer:
    """Accepts usage reports as the platform does, with injected faults.

    Attributes:
        refused: every report is rejected with 503.
        lost: reports are accepted, but the connection is aborted without a response.
        delay_seconds: time between the acceptance of a report and the response.
    """

    def __init__(self) -> None:
        self.reports: list[ReceivedReport] = []
        self.refused = False
        self.lost = False
        self.delay_seconds = 0.0
        self._server = WSGIServer(
            ("127.0.0.1", 0), self._handle_request, log=None, handler_class=Handler
        )

    @property
    def address(self) -> Address:
        return Address("127.0.0.1", self._server.server_port)

    def start(self) -> None:
        self._server.start()

    def stop(self) -> None:
        self._server.stop(timeout=0)

    def counts_of(self, window: int) -> dict[str, int] | None:
        """Return the first counts reported for a window, or None."""
        return next((one.counts for one in self.reports if one.window == window), None)

    def problems(self) -> list[str]:
        """Return violations of the platform's rules for reports.

        A window must always have the same counts. Fencing tokens must not decrease, and each must
        belong to one holder.
        """
        return [*self._conflicting_windows(), *self._token_violations()]

    def _conflicting_windows(self) -> list[str]:
        first: dict[int, dict[str, int]] = {}
        return [
            f"window {one.window}: counts {one.counts} after {first[one.window]}"
            for one in self.reports
            if first.setdefault(one.window, one.counts) != one.counts
        ]

    def _token_violations(self) -> list[str]:
        problems = []
        for before, after in zip(self.reports, self.reports[1:], strict=False):
            if after.token < before.token:
                problems.append(f"fencing token {after.token} after {before.token}")
            if after.token == before.token and after.holder != before.holder:
                problems.append(
                    f"fencing token {after.token} of both {before.holder} and {after.holder}"
                )
        return problems

    def _handle_request(
        self, environment: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        body = json.loads(environment["wsgi.input"].read())
        if self.refused:
            start_response("503 Service Unavailable", [])
            return [b""]
        self.reports.append(
            ReceivedReport(
                int(body["WindowId"]),
                dict(body["Counts"]),
                environment["HTTP_DUTY_HOLDER"],
                int(environment["HTTP_FENCING_TOKEN"]),
                time.time(),
            )
        )
        gevent.sleep(self.delay_seconds)
        if self.lost:
            environment[_CONNECTION].abort()
            raise ResponseAbortedError
        start_response("200 OK", [])
        return [b""]
