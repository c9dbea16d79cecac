"""HTTP client of a node's operator routes, used by ``runkeel ctl``."""

from __future__ import annotations

import json
import uuid
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

from geventhttpclient import HTTPClient
from geventhttpclient._parser import HTTPParseError

from runkeel.errors import ErrorCode, RunkeelError, Verdict, may_have_run, not_run

CONNECT_TIMEOUT_SECONDS = 3.0
RESPONSE_TIMEOUT_SECONDS = 20.0
QUERY_KEYWORD = "show"
_VERDICTS = {verdict.name.lower(): verdict for verdict in Verdict}


@dataclass(frozen=True, slots=True)
class NodeResponse:
    """Response of a node: the table of a query or the outcome of a command."""

    document: dict[str, Any]

    @property
    def is_table(self) -> bool:
        """Whether the response holds the rows of a query."""
        return "columns" in self.document


def is_query(text: str) -> bool:
    """Return whether a text is a query rather than a command."""
    return text.split(maxsplit=1)[:1] == [QUERY_KEYWORD]


class OperatorClient:
    """Sends commands and queries to one node.

    Args:
        node: base URL such as ``http://127.0.0.1:8080``; the scheme may be left out.
        token: bearer token; empty sends none.

    Raises:
        RunkeelError: BAD_REQUEST when the URL is malformed.
    """

    def __init__(self, node: str, token: str = "") -> None:
        try:
            parts = urlsplit(node if "//" in node else f"http://{node}")
            scheme, host, port = parts.scheme, parts.hostname, parts.port
        except ValueError:
            scheme, host, port = "", None, None
        if scheme != "http" or not host:
            raise not_run(ErrorCode.BAD_REQUEST, f"node must be http://HOST[:PORT], not {node!r}")
        self._host = host
        self._port = port or 80
        self._token = token

    def send(self, text: str, command_id: str | None = None) -> NodeResponse:
        """Send a command or query.

        Raises:
            RunkeelError: the node's error; PEER_UNREACHABLE when no connection was made or a
                query got no response; OUTCOME_UNKNOWN when a command got no response.
        """
        if is_query(text):
            return self._post("/v1/queries", {"query": text}, "")
        command_id = command_id or uuid.uuid4().hex
        return self._post("/v1/commands", {"command": text, "command_id": command_id}, command_id)

    def _post(self, path: str, document: dict[str, Any], command_id: str) -> NodeResponse:
        client = HTTPClient(
            self._host,
            self._port,
            connection_timeout=CONNECT_TIMEOUT_SECONDS,
            network_timeout=RESPONSE_TIMEOUT_SECONDS,
        )
        headers = {"Content-Type": "application/json"}
        if self._token:
            headers["Authorization"] = f"Bearer {self._token}"
        try:
            self._check_reachable(client)
            status, body = self._send_request(client, path, json.dumps(document).encode(), headers)
        except (OSError, HTTPParseError, ValueError) as error:
            raise self._connection_error(command_id, error) from error
        finally:
            client.close()
        content = _parse_object(body)
        if status != 200:
            raise _error_from_response(status, content, command_id)
        return NodeResponse(content)

    def _check_reachable(self, client: HTTPClient) -> None:
        """Open the connection in advance: a failure here proves that nothing was sent."""
        pool = client._connection_pool
        try:
            pool.return_socket(pool.get_socket())
        except OSError as error:
            raise not_run(
                ErrorCode.PEER_UNREACHABLE, f"node {self._host}:{self._port}: {error}"
            ) from error

    def _send_request(
        self, client: HTTPClient, path: str, body: bytes, headers: dict[str, str]
    ) -> tuple[int, bytes]:
        response = client.request("POST", path, body=body, headers=headers)
        return response.status_code, bytes(response.read())

    def _connection_error(self, command_id: str, error: Exception) -> RunkeelError:
        if not command_id:
            return not_run(ErrorCode.PEER_UNREACHABLE, f"node {self._host}:{self._port}: {error}")
        return may_have_run(
            ErrorCode.OUTCOME_UNKNOWN,
            f"no valid response to the command ({error}); check its effect with: show node",
        )


def _parse_object(body: bytes) -> dict[str, Any]:
    document = json.loads(body)
    if not isinstance(document, dict):
        raise ValueError("the response body is not a JSON object")
    return document


def _error_from_response(status: int, document: dict[str, Any], command_id: str) -> RunkeelError:
    try:
        code = ErrorCode(document.get("code"))
    except ValueError:
        code = ErrorCode.INTERNAL
    verdict = _VERDICTS.get(str(document.get("verdict")), Verdict.MAY_HAVE_RUN)
    detail = str(document.get("detail") or f"HTTP {status}")
    if command_id and verdict is Verdict.MAY_HAVE_RUN:
        detail = f"{detail}; check the effect of the command with: show node"
    return RunkeelError(code, detail, verdict)
