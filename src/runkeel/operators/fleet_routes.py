"""What operators ask of a fleet node: counters, and queries in their language.

The language is loaded with the first text, as its parser's memory is paid for on every machine.
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
    """Answers on the metrics address.

    Args:
        stop: begins the planned stop of this process.
    """

    def __init__(self, node: FleetNode, stop: Callable[[], None]) -> None:
        self._node = node
        self._stop = stop

    def answer(self, request: ClientRequest) -> ClientResponse:
        """Answer one request. Raises RunkeelError for what can't be asked."""
        if request.path == METRICS_PATH:
            return ClientResponse(200, [("Content-Type", CONTENT_TYPE_LATEST)], generate_latest())
        if (request.method, request.path) == ("POST", QUERIES_PATH):
            return self._answer_query(request.body)
        if (request.method, request.path) == ("POST", COMMANDS_PATH):
            return self._run_command(request.body)
        raise not_run(ErrorCode.NOT_FOUND, request.path)

    def _answer_query(self, body: bytes) -> ClientResponse:
        from runkeel.operators.documents import answer_document, parse_document, text_of
        from runkeel.operators.fleet_tables import FleetTables
        from runkeel.operators.local_queries import answer_locally
        from runkeel.operators.sources import QuerySources

        sources = QuerySources()
        FleetTables(self._node).register(sources)
        text = text_of(parse_document(body), "query")
        document = answer_document(answer_locally(sources, text))
        return ClientResponse(200, [_JSON], json.dumps(document).encode())

    def _run_command(self, body: bytes) -> ClientResponse:
        from runkeel.operators.documents import parse_document, text_of
        from runkeel.operators.fleet_commands import FleetCommands

        document = parse_document(body)
        command_id = str(document.get("command_id") or uuid.uuid4().hex)
        commands = FleetCommands(self._node.node_id, self._stop, self._node.quarantine.ledger)
        outcome = commands.run(text_of(document, "command"), command_id)
        return ClientResponse(200, [_JSON], json.dumps(asdict(outcome)).encode())
