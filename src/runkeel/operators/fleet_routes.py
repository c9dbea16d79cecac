"""HTTP routes for operators on a fleet node: metrics, queries and commands.

The query language is imported on first use, so that nodes without queries do not hold its parser in
memory.
"""

from __future__ import annotations

import json
import uuid
from collections.abc import Callable
from dataclasses import asdict
from typing import TYPE_CHECKING

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from runkeel.errors import ErrorCode, not_run
from runkeel.http.frontend import ClientRequest, ClientResponse

if TYPE_CHECKING:
    from runkeel.fleet_node import FleetNode

METRICS_PATH = "/metrics"
QUERIES_PATH = "/v1/queries"
COMMANDS_PATH = "/v1/commands"
_JSON = ("Content-Type", "application/json")


class FleetOperatorRoutes:
    """Serves operators' requests at the metrics address.

    Args:
        request_stop: begins the planned stop of this process.
    """

    def __init__(self, node: FleetNode, request_stop: Callable[[], None]) -> None:
        self._node = node
        self._request_stop = request_stop

    def answer(self, request: ClientRequest) -> ClientResponse:
        """Handle one request.

        Raises:
            RunkeelError: NOT_FOUND for an unknown path, or the error of the query or command.
        """
        if request.path == METRICS_PATH:
            return ClientResponse(200, [("Content-Type", CONTENT_TYPE_LATEST)], generate_latest())
        if (request.method, request.path) == ("POST", QUERIES_PATH):
            return self._run_query(request.body)
        if (request.method, request.path) == ("POST", COMMANDS_PATH):
            return self._run_command(request.body)
        raise not_run(ErrorCode.NOT_FOUND, request.path)

    def _run_query(self, body: bytes) -> ClientResponse:
        from runkeel.operators.documents import parse_document, result_document, string_field
        from runkeel.operators.fleet_tables import FleetTables
        from runkeel.operators.local_queries import run_query
        from runkeel.operators.sources import QuerySources

        sources = QuerySources()
        FleetTables(self._node).register(sources)
        text = string_field(parse_document(body), "query")
        document = result_document(run_query(sources, text))
        return ClientResponse(200, [_JSON], json.dumps(document).encode())

    def _run_command(self, body: bytes) -> ClientResponse:
        from runkeel.operators.documents import parse_document, string_field
        from runkeel.operators.fleet_commands import FleetCommands

        document = parse_document(body)
        command_id = str(document.get("command_id") or uuid.uuid4().hex)
        commands = FleetCommands(
            self._node.node_id, self._request_stop, self._node.quarantine.ledger
        )
        outcome = commands.run(string_field(document, "command"), command_id)
        return ClientResponse(200, [_JSON], json.dumps(asdict(outcome)).encode())
