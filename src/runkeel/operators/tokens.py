"""Operators' tokens: kept only as salted hashes in the configuration."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from collections.abc import Mapping
from dataclasses import dataclass

from runkeel.api.configuration import ObjectKind, OperatorSpec
from runkeel.api.interfaces import Configuration
from runkeel.errors import ErrorCode, not_run
from runkeel.operators import metrics

ROLE_READ = "read"
ROLE_OPERATE = "operate"
ANONYMOUS = "anonymous"
_SCHEME = "bearer "
_TOKEN_BYTES = 32
_SALT_BYTES = 16


@dataclass(frozen=True, slots=True)
class NewToken:
    """A fresh token and what to put into the operator object."""

    token: str
    salt: str
    token_sha256: str


def new_token() -> NewToken:
    """Make a random token."""
    token = secrets.token_urlsafe(_TOKEN_BYTES)
    salt = secrets.token_hex(_SALT_BYTES)
    return NewToken(token, salt, hash_token(token, salt))


def hash_token(token: str, salt: str) -> str:
    """Return SHA-256 of salt and token, in hex. Tokens are random, so no slow hash is needed."""
    return hashlib.sha256((salt + token).encode()).hexdigest()


class Authenticator:
    """Tells who sends a request and whether they may.

    Args:
        open_access: whether anyone may do anything while no operator object exists.
    """

    def __init__(self, configuration: Configuration, open_access: bool) -> None:
        self._configuration = configuration
        self._open_access = open_access

    def authenticate(self, headers: Mapping[str, str], needed_role: str) -> str:
        """Return the operator's name.

        Args:
            headers: names in lower case.

        Raises:
            RunkeelError: UNAUTHORIZED without a valid token, FORBIDDEN for the wrong role.
        """
        names = self._configuration.names(ObjectKind.OPERATOR)
        if not names and self._open_access:
            return ANONYMOUS
        header = headers.get("authorization", "")
        token = header[len(_SCHEME) :].strip() if header.lower().startswith(_SCHEME) else ""
        for name in names:
            spec = self._configuration.spec(ObjectKind.OPERATOR, name)
            if isinstance(spec, OperatorSpec) and _is_token_of(spec, token):
                return self._check_role(name, spec, needed_role)
        metrics.REFUSED_TOKENS.inc()
        raise not_run(ErrorCode.UNAUTHORIZED, "a valid operator token is needed")

    def _check_role(self, name: str, spec: OperatorSpec, needed_role: str) -> str:
        if needed_role == ROLE_OPERATE and spec.role != ROLE_OPERATE:
            raise not_run(ErrorCode.FORBIDDEN, f"operator {name!r} may only read")
        return name


def _is_token_of(spec: OperatorSpec, token: str) -> bool:
    if not token or not spec.token_sha256:
        return False
    return hmac.compare_digest(hash_token(token, spec.salt), spec.token_sha256.lower())
