"""Registry of the tables that queries can read."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from runkeel.operators.statements import Scalar

Row = tuple[Scalar, ...]
RowProvider = Callable[[], list[Row]]

AGE_COLUMN = "age_ms"
"""A column of this name holds the age of a row's data in milliseconds; null when unknown."""
RESOURCES = "resources"


@dataclass(frozen=True, slots=True)
class QuerySource:
    """A table that queries can read.

    Attributes:
        everywhere: whether each node has its own rows, so that all nodes must be queried; otherwise
            all nodes have the same rows.
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
        """Register a table; the provider returns rows with one value per column."""
        self._sources[name] = QuerySource(name, tuple(columns), provider, everywhere)

    def get(self, name: str) -> QuerySource | None:
        return self._sources.get(name)

    def names(self) -> tuple[str, ...]:
        """Return the sorted names of all tables."""
        return tuple(sorted(self._sources))

    def _resource_rows(self) -> list[Row]:
        return [
            (source.name, ", ".join(source.columns), source.everywhere)
            for _, source in sorted(self._sources.items())
        ]
