"""Texts of items that no job runs at present; a later job may name the same items."""

from __future__ import annotations

from runkeel.jobs.generation_run import PartialText

MAXIMUM_TEXTS = 2_000
"""Most texts kept; the oldest go first. Chosen, not measured."""


class KeptTexts:
    """The latest texts, by item; the oldest give way."""

    def __init__(self) -> None:
        self._texts: dict[str, PartialText] = {}

    def keep(self, item_id: str, text: PartialText) -> None:
        """Keep an item's text; one without pieces isn't worth it."""
        if not text.pieces:
            return
        self._texts[item_id] = text
        while len(self._texts) > MAXIMUM_TEXTS:
            self._texts.pop(next(iter(self._texts)))

    def get(self, item_id: str) -> PartialText | None:
        """Return an item's text."""
        return self._texts.get(item_id)

    def take(self, item_id: str) -> PartialText | None:
        """Return an item's text and keep it no longer."""
        return self._texts.pop(item_id, None)
