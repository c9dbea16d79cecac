"""What operators ask of a fleet node: counters, and queries in their language.

The language is loaded with the first query, as its parser's memory is paid for on every machine.
Commands are not taken: what a platform holds is changed through the platform's own store.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from runkeel.errors import ErrorCode, not_run
from runkeel.http.frontend import ClientAnswer, ClientRequest

if TYPE_CHECKING:
    from runkeel.fleet_node import FleetNode

METRICS_PATH = "/metrics"
QUERIES_PATH = "/v1/queries"
COMMANDS_PATH = "/v1/commands"


class FleetOperatorRoutes:
    """Answers on the metrics address."""

    def __init__(self, node: FleetNode) -> None:
        self._node = node

    def answer(self, request: ClientRequest) -> ClientAnswer:
        """Answer one request. Raises RunkeelError for what can't be asked."""
        if request.path == METRICS_PATH:
            return ClientAnswer(200, [("Content-Type", CONTENT_TYPE_LATEST)], generate_latest())
        if (request.method, request.path) == ("POST", QUERIES_PATH):
            return self._answer_query(request.body)
        if (request.method, request.path) == ("POST", COMMANDS_PATH):
            detail = "services, versions and drains are changed through the platform's own store"
            raise not_run(ErrorCode.BAD_COMMAND, detail)
        raise not_run(ErrorCode.NOT_FOUND, request.path)

    def _answer_query(self, body: bytes) -> ClientAnswer:
        from runkeel.operators.documents import answer_document, parse_document, text_of
        from runkeel.operators.fleet_tables import FleetTables
        from runkeel.operators.local_queries import answer_locally
        from runkeel.operators.sources import QuerySources

        sources = QuerySources()
        FleetTables(self._node).register(sources)
        text = text_of(parse_document(body), "query")
        document = answer_document(answer_locally(sources, text))
        headers = [("Content-Type", "application/json")]
        return ClientAnswer(200, headers, json.dumps(document).encode())
