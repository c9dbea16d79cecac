"""Routes for monitoring: liveness, readiness and Prometheus metrics."""

from __future__ import annotations

import json
from collections.abc import Callable

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from runkeel.api.http import HttpRequest, HttpResponse, HttpRoutes

_JSON_HEADERS = (("Content-Type", "application/json"),)


def add_monitoring_routes(
    routes: HttpRoutes,
    not_ready_reasons: Callable[[], list[str]],
    notices: Callable[[], list[str]] = list,
) -> None:
    """Register ``/healthz``, ``/readyz`` and ``/metrics``.

    Args:
        routes: where to register.
        not_ready_reasons: tells why the node should get no requests; empty when it is ready.
        notices: what an operator should know although the node can serve requests, such as that
            non-repeatable ones are refused for a time.
    """

    def health(request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, list(_JSON_HEADERS), b'{"alive": true}')

    def readiness(request: HttpRequest) -> HttpResponse:
        reasons = not_ready_reasons()
        body = json.dumps({"ready": not reasons, "reasons": reasons, "notices": notices()}).encode()
        return HttpResponse(503 if reasons else 200, list(_JSON_HEADERS), body)

    def metrics(request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, [("Content-Type", CONTENT_TYPE_LATEST)], generate_latest())

    routes.add("GET", "/healthz", health)
    routes.add("GET", "/readyz", readiness)
    routes.add("GET", "/metrics", metrics)
