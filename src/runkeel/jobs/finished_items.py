"""Items whose text is whole: kept until their result is listed, then remembered for a while."""

from __future__ import annotations

from runkeel.jobs.item_task import ItemTask

MAXIMUM_LISTED = 4_000
"""Listed items that are remembered, so that copies of their texts are dropped.

Some ten steps of a large deployment; an older copy is dropped by its age.
"""


class FinishedItems:
    """Items that have ended with a text."""

    def __init__(self) -> None:
        self._unlisted: list[ItemTask] = []
        """Their result is not in the store yet."""
        self._listed: dict[str, None] = {}
        """The latest last."""

    def add(self, task: ItemTask) -> None:
        """Take an item whose result is to be listed."""
        self._unlisted.append(task)

    def unlisted(self) -> list[ItemTask]:
        """Return the items whose result is not listed yet; others are noted as listed."""
        unlisted = []
        for task in self._unlisted:
            if task.state.is_listed(task.item.item_id):
                self._listed[task.item.item_id] = None
            elif not task.state.ended:
                unlisted.append(task)
        self._unlisted = unlisted
        while len(self._listed) > MAXIMUM_LISTED:
            self._listed.pop(next(iter(self._listed)))
        return unlisted

    def is_listed(self, item_id: str) -> bool:
        """Return whether an item's result was listed lately, so that its text isn't needed."""
        return item_id in self._listed

    def open_again(self, item_id: str) -> None:
        """Take note that a job names an item anew."""
        self._listed.pop(item_id, None)
