"""Finds the route of a request and the service that gets it."""

from __future__ import annotations

import hashlib

from loguru import logger

from runkeel.api.fleet import Route, RoutingConfiguration

_HASH_SPAN = float(1 << 32)


class RoutesInForce:
    """One version of the configuration, ready to be looked up; never changed once made.

    A request that holds on to it sees the same version from its key to its server.
    """

    def __init__(self, configuration: RoutingConfiguration) -> None:
        self.configuration = configuration
        self._routes: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self._routes.setdefault(route.host, []).append(route)
        for of_host in self._routes.values():
            of_host.sort(key=lambda route: -len(route.path_prefix))

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, None when there is none."""
        for route in self._routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def rank(self, route: Route, tenant_name: str) -> int:
        """Return how urgent a tenant's requests on a route are; the tenant's word goes first."""
        tenants = self.configuration.tenants
        tenant = tenants.of_name(tenant_name) if tenants is not None and tenant_name else None
        return route.rank if tenant is None or tenant.rank is None else tenant.rank


class RoutingTable:
    """The configuration in force at this node; it never goes back to an older version."""

    def __init__(self) -> None:
        self._in_force: RoutesInForce | None = None

    @property
    def in_force(self) -> RoutesInForce | None:
        """The version in force, None before the first one."""
        return self._in_force

    @property
    def configuration(self) -> RoutingConfiguration | None:
        """The configuration in force, None before the first one."""
        return None if self._in_force is None else self._in_force.configuration

    def apply(self, configuration: RoutingConfiguration) -> bool:
        """Put a configuration in force; False when it is not newer."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self._in_force = RoutesInForce(configuration)
        logger.info(
            "configuration in force",
            code="configuration",
            version=configuration.version,
            previous=current.version if current else 0,
            routes=len(configuration.routes),
            tenants=len(configuration.tenants) if configuration.tenants is not None else 0,
        )
        return True

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, None when there is none."""
        return None if self._in_force is None else self._in_force.match(host, path)

    def rank(self, route: Route, tenant_name: str) -> int:
        """Return how urgent a tenant's requests on a route are."""
        return route.rank if self._in_force is None else self._in_force.rank(route, tenant_name)


def choose_service(route: Route, request_id: str) -> str:
    """Choose one of a route's services by weight; the same for the same request id."""
    shares = [share for share in route.shares if share.weight > 0] or list(route.shares)
    if len(shares) == 1:
        return shares[0].service
    digest = hashlib.blake2b(request_id.encode(), digest_size=4).digest()
    point = int.from_bytes(digest, "big") / _HASH_SPAN * sum(share.weight for share in shares)
    for share in shares:
        point -= share.weight
        if point < 0:
            return share.service
    return shares[-1].service
