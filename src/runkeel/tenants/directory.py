"""Lookup of the tenants of one configuration version by key and by name."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from runkeel.tenants.keys import key_digest


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant of the system.

    Attributes:
        rank: priority of its requests, 0 is the most urgent; None: that of the route applies.
        key_digests: digests of its keys, see :mod:`runkeel.tenants.keys`.
    """

    name: str
    rank: int | None = None
    key_digests: tuple[str, ...] = ()


class TenantDirectory:
    """Immutable set of tenants with constant-time lookup."""

    def __init__(self, tenants: Iterable[Tenant]) -> None:
        self._by_name = {tenant.name: tenant for tenant in tenants}
        self._by_digest = {
            digest: tenant for tenant in self._by_name.values() for digest in tenant.key_digests
        }

    def __len__(self) -> int:
        return len(self._by_name)

    def __iter__(self):
        return iter(self._by_name.values())

    def of_key(self, key: str) -> Tenant | None:
        """Return the tenant that owns a key, or None."""
        return self._by_digest.get(key_digest(key))

    def of_name(self, name: str) -> Tenant | None:
        """Return the tenant with a name, or None."""
        return self._by_name.get(name)
