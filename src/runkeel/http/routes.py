"""Matches a request's method and path to a handler."""

from __future__ import annotations

import re
from dataclasses import dataclass

from runkeel.api.http import HttpHandler
from runkeel.errors import ErrorCode, not_run

ANY_METHOD = "*"
_PARAMETER = re.compile(r"\{([a-z_]+)(\.\.\.)?\}")


@dataclass(frozen=True, slots=True)
class _Route:
    method: str
    expression: re.Pattern[str]
    handler: HttpHandler


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """A handler and the values of the route's parameters."""

    handler: HttpHandler
    parameters: dict[str, str]


class RouteTable:
    """Implements :class:`runkeel.api.http.HttpRoutes`; routes are tried in order."""

    def __init__(self) -> None:
        self._routes: list[_Route] = []

    def add(self, method: str, pattern: str, handler: HttpHandler) -> None:
        """Register a handler; ``{name}`` takes one path segment, ``{name...}`` the rest."""
        self._routes.append(_Route(method, _compile(pattern), handler))

    def match(self, method: str, path: str) -> RouteMatch:
        """Find the handler of a request.

        Raises:
            RunkeelError: NOT_FOUND or METHOD_NOT_ALLOWED, both NOT_RUN.
        """
        path_known = False
        for route in self._routes:
            found = route.expression.fullmatch(path)
            if found is None:
                continue
            if route.method in (ANY_METHOD, method):
                return RouteMatch(route.handler, found.groupdict())
            path_known = True
        if path_known:
            raise not_run(ErrorCode.METHOD_NOT_ALLOWED, f"{method} is not allowed here")
        raise not_run(ErrorCode.NOT_FOUND, "no such path")


def _compile(pattern: str) -> re.Pattern[str]:
    expression = ""
    position = 0
    for parameter in _PARAMETER.finditer(pattern):
        expression += re.escape(pattern[position : parameter.start()])
        value = ".*" if parameter.group(2) else "[^/]+"
        expression += f"(?P<{parameter.group(1)}>{value})"
        position = parameter.end()
    return re.compile(expression + re.escape(pattern[position:]))
