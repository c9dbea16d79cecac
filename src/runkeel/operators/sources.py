"""What can be asked: named tables of rows, registered by the parts of a node."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from runkeel.operators.statements import Scalar

Row = tuple[Scalar, ...]
RowProvider = Callable[[], list[Row]]

AGE_COLUMN = "age_ms"
"""A column of this name says how old what the row shows is; null when not known."""
RESOURCES = "resources"


@dataclass(frozen=True, slots=True)
class QuerySource:
    """A table.

    Attributes:
        everywhere: whether each node has rows of its own, so that all must be asked; otherwise
            every node holds the same rows.
    """

    name: str
    columns: tuple[str, ...]
    provider: RowProvider
    everywhere: bool = False


class QuerySources:
    """Registry of the tables of a node."""

    def __init__(self) -> None:
        self._sources: dict[str, QuerySource] = {}
        self.add(RESOURCES, ("name", "columns", "everywhere"), self._resource_rows)

    def add(
        self,
        name: str,
        columns: tuple[str, ...] | list[str],
        provider: RowProvider,
        everywhere: bool = False,
    ) -> None:
        """Register a table; a provider returns rows of as many values as there are columns."""
        self._sources[name] = QuerySource(name, tuple(columns), provider, everywhere)

    def get(self, name: str) -> QuerySource | None:
        """Return a table, or None."""
        return self._sources.get(name)

    def names(self) -> tuple[str, ...]:
        """Return the names of all tables, sorted."""
        return tuple(sorted(self._sources))

    def _resource_rows(self) -> list[Row]:
        return [
            (source.name, ", ".join(source.columns), source.everywhere)
            for _, source in sorted(self._sources.items())
        ]
