"""Client of an application back end."""

from __future__ import annotations

import time
from collections.abc import Callable

from runkeel.api.machines import Machine
from runkeel.backends.http_connection import HttpConnectionPool, OutgoingRequest
from runkeel.wire.generated.common.ttypes import HttpHeader
from runkeel.wire.generated.requests.ttypes import ApplicationRequest, ApplicationResponse

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that belong to one connection (RFC 9110, section 7.6.1); never passed through."""


class ApplicationClient:
    """Sends requests to one application back end."""

    def __init__(self, machine: Machine) -> None:
        if machine.http is None:
            raise ValueError(f"{machine.machine_id} has no HTTP address")
        self._backend_id = machine.machine_id
        self._pool = HttpConnectionPool(machine.http)

    def run(
        self, request: ApplicationRequest, deadline: float, before_send: Callable[[], None]
    ) -> ApplicationResponse:
        """Run a request and return the whole answer, whatever its status.

        Args:
            deadline: monotonic time at which to give up.
            before_send: called right before the first byte is written.

        Raises:
            RunkeelError: see :meth:`HttpConnectionPool.request`.
        """
        envelope = request.envelope
        remaining_ms = max(1, int((deadline - time.monotonic()) * 1_000))
        headers = [(header.name, header.value) for header in request.headers]
        headers.append(("X-Request-Id", envelope.request_id))
        headers.append(("X-Deadline-Ms", str(remaining_ms)))
        outgoing = OutgoingRequest(request.method, request.path, headers, request.body)
        answer = self._pool.request(outgoing, deadline, before_send)
        return ApplicationResponse(
            request_id=envelope.request_id,
            attempt=envelope.attempt,
            status=answer.status,
            headers=[
                HttpHeader(name, value)
                for name, value in answer.headers
                if name.lower() not in HOP_BY_HOP_HEADERS
            ],
            body=answer.body,
            backend_id=self._backend_id,
        )

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()
