"""Selects the route and the service of a request."""

from __future__ import annotations

import hashlib

from loguru import logger

from runkeel.api.fleet import Route, RoutingConfiguration

_HASH_RANGE = float(1 << 32)


class RoutingSnapshot:
    """Immutable, indexed snapshot of one version of the configuration.

    A request uses a single snapshot, so that authentication and routing see the same version.
    """

    def __init__(self, configuration: RoutingConfiguration) -> None:
        self.configuration = configuration
        self._routes: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self._routes.setdefault(route.host, []).append(route)
        for host_routes in self._routes.values():
            host_routes.sort(key=lambda route: -len(route.path_prefix))

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, None if there is none."""
        for route in self._routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def rank(self, route: Route, tenant_name: str) -> int:
        """Return the priority of a request, 0 is the most urgent.

        The tenant's rank overrides the route's.
        """
        tenants = self.configuration.tenants
        tenant = tenants.of_name(tenant_name) if tenants is not None and tenant_name else None
        return route.rank if tenant is None or tenant.rank is None else tenant.rank


class RoutingTable:
    """The configuration in force at this node; versions only increase."""

    def __init__(self) -> None:
        self._in_force: RoutingSnapshot | None = None

    @property
    def in_force(self) -> RoutingSnapshot | None:
        """The snapshot in force, None before the first configuration."""
        return self._in_force

    @property
    def configuration(self) -> RoutingConfiguration | None:
        """The configuration in force, None before the first one."""
        return None if self._in_force is None else self._in_force.configuration

    def apply(self, configuration: RoutingConfiguration) -> bool:
        """Put a configuration in force; returns False if it isn't newer than the current one."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self._in_force = RoutingSnapshot(configuration)
        logger.info(
            "configuration applied",
            code="configuration",
            version=configuration.version,
            previous=current.version if current else 0,
            routes=len(configuration.routes),
            tenants=len(configuration.tenants) if configuration.tenants is not None else 0,
        )
        return True

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, None if there is none."""
        return None if self._in_force is None else self._in_force.match(host, path)

    def rank(self, route: Route, tenant_name: str) -> int:
        """Return the priority of a tenant's requests on a route, 0 is the most urgent."""
        return route.rank if self._in_force is None else self._in_force.rank(route, tenant_name)


def choose_service(route: Route, request_id: str) -> str:
    """Choose one of the route's services by weight, deterministically for a request id."""
    shares = [share for share in route.shares if share.weight > 0] or list(route.shares)
    if len(shares) == 1:
        return shares[0].service
    digest = hashlib.blake2b(request_id.encode(), digest_size=4).digest()
    point = int.from_bytes(digest, "big") / _HASH_RANGE * sum(share.weight for share in shares)
    for share in shares:
        point -= share.weight
        if point < 0:
            return share.service
    return shares[-1].service
