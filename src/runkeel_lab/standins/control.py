"""Control face of a process of stand-ins, reachable while a fault has closed theirs."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping
from typing import Any

from gevent.pywsgi import WSGIServer
from pydantic import ValidationError

from runkeel.api.machines import Address
from runkeel_lab.standins.http import (
    BadRequestError,
    Handler,
    Request,
    Response,
    error_response,
    json_response,
)
from runkeel_lab.standins.server import StandIn


class ControlFace:
    """Serves ``/standins/{id}/fault...``, each like the stand-in's own ``/fault...``."""

    def __init__(self, listen: Address, standins: Mapping[str, StandIn]) -> None:
        self._standins = standins
        self._server = WSGIServer(
            (listen.host, listen.port),
            self._application,
            log=None,
            handler_class=Handler,
            environ={"SERVER_NAME": "control"},
        )

    @property
    def address(self) -> Address:
        """Where the control face listens."""
        return Address(self._server.server_host, self._server.server_port)

    def start(self) -> None:
        """Begin to serve."""
        self._server.start()

    def stop(self) -> None:
        """End; waits for no request."""
        self._server.stop(timeout=0)

    def _application(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        try:
            response = self._respond(Request.from_environ(environ))
        except (BadRequestError, ValidationError) as error:
            response = error_response(400, str(error))
        start_response(response.status_line(), response.all_headers())
        return [response.body] if isinstance(response.body, bytes) else response.body

    def _respond(self, request: Request) -> Response:
        parts = request.segments
        if parts == ["health"]:
            return json_response(200, {"standins": len(self._standins)})
        standin = self._standins.get(parts[1]) if len(parts) > 2 else None
        if standin is None or parts[0] != "standins":
            return error_response(404, "no such stand-in")
        path = "/" + "/".join(parts[2:])
        return standin.handle_control(dataclasses.replace(request, path=path))
