"""Authenticates requests and determines their tenant."""

from __future__ import annotations

from collections.abc import Sequence

from runkeel.errors import ErrorCode, RunkeelError, not_run
from runkeel.tenants.directory import TenantDirectory
from runkeel.tenants.keys import presented_key

NO_TENANT = ""
"""Tenant name of requests that need no key."""


def calling_tenant(
    tenants: TenantDirectory | None, authorizations: Sequence[str], public: bool = False
) -> str:
    """Return the name of the tenant that a request's key belongs to.

    Args:
        tenants: tenants of the active configuration; None if it requires no keys.
        authorizations: values of all Authorization headers of the request.
        public: whether the request's route requires no key.

    Raises:
        RunkeelError: UNAUTHORIZED (NOT_RUN) if the key is missing, malformed or unknown.
    """
    if tenants is None or public:
        return NO_TENANT
    key = presented_key(authorizations)
    if key is None:
        raise _unauthorized("exactly one Authorization header of the form 'Bearer KEY' is needed")
    tenant = tenants.of_key(key)
    if tenant is None:
        raise _unauthorized("unknown API key")
    return tenant.name


def _unauthorized(detail: str) -> RunkeelError:
    return not_run(ErrorCode.UNAUTHORIZED, detail)
