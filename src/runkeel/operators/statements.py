"""Typed statements of the operators' language."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from runkeel.api.configuration import ObjectKind

Scalar = int | float | str | bool | None


@dataclass(frozen=True, slots=True)
class Word:
    """A word of a statement and the position in the statement, from 0, at which it begins."""

    text: str
    position: int


class Comparison(enum.StrEnum):
    """Operators of a ``where`` condition; ``~`` means contains."""

    EQUAL = "="
    NOT_EQUAL = "!="
    LESS = "<"
    LESS_OR_EQUAL = "<="
    GREATER = ">"
    GREATER_OR_EQUAL = ">="
    CONTAINS = "~"


@dataclass(frozen=True, slots=True)
class Condition:
    """``field comparison value``."""

    field: Word
    comparison: Comparison
    value: Word


@dataclass(frozen=True, slots=True)
class ShowQuery:
    """``show RESOURCE [where ...] [order by ...] [limit N]``."""

    resource: Word
    conditions: tuple[Condition, ...] = ()
    order_by: Word | None = None
    descending: bool = False
    limit: int | None = None


@dataclass(frozen=True, slots=True)
class ShowCommand:
    """``show command ID``: asks for the outcome of an earlier command."""

    command_id: str


class ChangeMode(enum.StrEnum):
    """Whether a change requires that the object exists, and what becomes of other fields."""

    UPDATE = "update"
    """The object must exist."""
    CREATE = "create"
    """The object must not exist."""
    UPSERT = "upsert"
    REPLACE = "replace"
    """Like UPSERT, but fields that are not assigned are reset to their defaults."""
    DELETE = "delete"


@dataclass(frozen=True, slots=True)
class Change:
    """A command: a change of one configuration object.

    Attributes:
        verb: first word of the command.
        fields: names of fields of the spec, with their new values.
    """

    verb: str
    kind: ObjectKind
    name: str
    mode: ChangeMode
    fields: tuple[tuple[str, Scalar], ...] = ()
    expected_generation: int | None = None
    dry_run: bool = False


@dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """``release request FINGERPRINT``: releases a request from quarantine."""

    fingerprint: str
    dry_run: bool = False


Statement = ShowQuery | ShowCommand | Change | ReleaseRequest
