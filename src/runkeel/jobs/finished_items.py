"""Completed items: retained until their results are listed, their IDs for some time after."""

from __future__ import annotations

from runkeel.jobs.item_task import ItemTask

MAX_LISTED_ITEMS = 4_000
"""Upper bound of listed item IDs; the oldest are evicted first.

The IDs are used to drop copies of the items' outputs; copies of evicted items are dropped by age.
"""


class FinishedItems:
    """Items that have completed with an output."""

    def __init__(self) -> None:
        self._unlisted: list[ItemTask] = []
        """Items whose results are not in the store yet."""
        self._listed: dict[str, None] = {}
        """Item IDs, oldest first."""

    def add(self, task: ItemTask) -> None:
        """Add an item whose result has yet to be listed."""
        self._unlisted.append(task)

    def unlisted(self) -> list[ItemTask]:
        """Return the items whose results are not listed yet, and record the others as listed."""
        unlisted = []
        for task in self._unlisted:
            if task.state.is_listed(task.item.item_id):
                self._listed[task.item.item_id] = None
            elif not task.state.ended:
                unlisted.append(task)
        self._unlisted = unlisted
        while len(self._listed) > MAX_LISTED_ITEMS:
            self._listed.pop(next(iter(self._listed)))
        return unlisted

    def is_listed(self, item_id: str) -> bool:
        """Return whether an item's result was listed recently, so that its output is not needed."""
        return item_id in self._listed

    def reopen(self, item_id: str) -> None:
        """Forget that an item was listed, as a job contains it again."""
        self._listed.pop(item_id, None)
