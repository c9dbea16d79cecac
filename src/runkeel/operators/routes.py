"""HTTP routes of the operators: ``POST /v1/commands`` and ``POST /v1/queries``."""

from __future__ import annotations

import json
import uuid
from typing import Any

from runkeel.api.http import HttpRequest, HttpResponse, HttpRoutes
from runkeel.errors import ErrorCode, RunkeelError, not_run
from runkeel.operators import metrics
from runkeel.operators.commands import CommandOutcome, CommandRunner
from runkeel.operators.diagnostics import bad_command
from runkeel.operators.documents import answer_document, parse_document, text_of
from runkeel.operators.language import parse_statement
from runkeel.operators.queries import QueryRunner
from runkeel.operators.statements import Change, ShowCommand, ShowQuery
from runkeel.operators.tokens import ROLE_OPERATE, ROLE_READ, Authenticator

MAXIMUM_COMMAND_ID_LENGTH = 64


class OperatorRoutes:
    """Answers operators' requests."""

    def __init__(
        self,
        routes: HttpRoutes,
        authenticator: Authenticator,
        commands: CommandRunner,
        queries: QueryRunner,
    ) -> None:
        self._authenticator = authenticator
        self._commands = commands
        self._queries = queries
        routes.add("POST", "/v1/commands", self.handle_command)
        routes.add("POST", "/v1/queries", self.handle_query)

    def handle_command(self, request: HttpRequest) -> HttpResponse:
        """Carry out a command."""
        operator = self._authenticator.authenticate(request.headers, ROLE_OPERATE)
        document = parse_document(request.body)
        text = text_of(document, "command")
        command_id = _command_id_of(document)
        change = parse_statement(text)
        if not isinstance(change, Change):
            raise bad_command(text, 0, "a query; send it to /v1/queries")
        outcome = self._commands.run(text, change, command_id, operator)
        return _json_response(_outcome_document(outcome))

    def handle_query(self, request: HttpRequest) -> HttpResponse:
        """Answer a query."""
        self._authenticator.authenticate(request.headers, ROLE_READ)
        text = text_of(parse_document(request.body), "query")
        try:
            document = self._answer(text)
        except RunkeelError as error:
            metrics.QUERIES.labels(str(error.code)).inc()
            raise
        metrics.QUERIES.labels("ok").inc()
        return _json_response(document)

    def _answer(self, text: str) -> dict[str, Any]:
        statement = parse_statement(text)
        if isinstance(statement, ShowCommand):
            return _outcome_document(self._commands.settle(statement.command_id))
        if isinstance(statement, ShowQuery):
            return answer_document(self._queries.run(text, statement))
        raise bad_command(text, 0, "a command; send it to /v1/commands")


def _command_id_of(document: dict[str, Any]) -> str:
    command_id = document.get("command_id") or uuid.uuid4().hex
    valid = isinstance(command_id, str) and len(command_id) <= MAXIMUM_COMMAND_ID_LENGTH
    if not valid or not command_id.isprintable():
        detail = f"command_id must be up to {MAXIMUM_COMMAND_ID_LENGTH} printable characters"
        raise not_run(ErrorCode.BAD_REQUEST, detail)
    return command_id


def _outcome_document(outcome: CommandOutcome) -> dict[str, Any]:
    document: dict[str, Any] = {
        "command_id": outcome.command_id,
        "outcome": outcome.outcome,
        "generation": outcome.generation,
        "warnings": list(outcome.warnings),
    }
    if outcome.spec:
        document["spec"] = outcome.spec
        document["present"] = outcome.present
    return document


def _json_response(document: dict[str, Any]) -> HttpResponse:
    body = json.dumps(document).encode()
    return HttpResponse(200, [("Content-Type", "application/json")], body)
