"""Asks engines which weight versions they serve, where nobody else can tell."""

from __future__ import annotations

from collections.abc import Iterable

from gevent.pool import Pool
from loguru import logger

from runkeel.api.backend_protocol import BackendProtocol
from runkeel.clock import steady_seconds
from runkeel.errors import RunkeelError
from runkeel.gateway.backends import BackendDirectory, BackendState

CONCURRENT_REPORTS = 32
"""So many engines are asked at once."""

REPORT_SECONDS = 0.5
"""Longest wait for an engine's answer; one that gives none may be down."""


def report_versions(
    directory: BackendDirectory, protocol: BackendProtocol, services: Iterable[str]
) -> dict[tuple[str, str], int]:
    """Return the version of each engine and model, as the engines themselves report."""
    engines = [state for service in services for state in directory.of_service(service)]
    versions: dict[tuple[str, str], int] = {}
    for state, reported in Pool(CONCURRENT_REPORTS).imap_unordered(
        lambda state: (state, _ask(state, protocol)), engines
    ):
        for model, version in reported.items():
            versions[state.incarnation, model] = version
    return versions


def _ask(state: BackendState, protocol: BackendProtocol) -> dict[str, int]:
    outgoing = protocol.encode_report_query(state.backend)
    try:
        answer = state.pool.request(outgoing, steady_seconds() + REPORT_SECONDS)
        return protocol.parse_report(answer.body).model_versions if answer.status == 200 else {}
    except (RunkeelError, ValueError, KeyError) as error:
        logger.info(
            "no report", code="engine_report_lost", backend=state.incarnation, error=str(error)
        )
        return {}
