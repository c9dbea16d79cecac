"""Queries engines for the weight versions that they serve."""

from __future__ import annotations

from collections.abc import Iterable

from gevent.pool import Pool
from loguru import logger

from runkeel.api.backend_protocol import BackendProtocol
from runkeel.clock import steady_seconds
from runkeel.errors import RunkeelError
from runkeel.gateway.backends import BackendDirectory, BackendState

MAX_CONCURRENT_QUERIES = 32
QUERY_TIMEOUT_SECONDS = 0.5


def query_versions(
    directory: BackendDirectory, protocol: BackendProtocol, services: Iterable[str]
) -> dict[tuple[str, str], int]:
    """Return the weight version by engine incarnation and model, as reported by the engines.

    Engines that do not answer in time are left out.
    """
    engines = [state for service in services for state in directory.of_service(service)]
    versions: dict[tuple[str, str], int] = {}
    for state, reported in Pool(MAX_CONCURRENT_QUERIES).imap_unordered(
        lambda state: (state, _query(state, protocol)), engines
    ):
        for model, version in reported.items():
            versions[state.incarnation, model] = version
    return versions


def _query(state: BackendState, protocol: BackendProtocol) -> dict[str, int]:
    outgoing = protocol.encode_report_query(state.backend)
    try:
        answer = state.pool.request(outgoing, steady_seconds() + QUERY_TIMEOUT_SECONDS)
        return protocol.parse_report(answer.body).model_versions if answer.status == 200 else {}
    except (RunkeelError, ValueError, KeyError) as error:
        logger.info(
            "engine version query failed",
            code="engine_report_lost",
            backend=state.incarnation,
            error=str(error),
        )
        return {}
