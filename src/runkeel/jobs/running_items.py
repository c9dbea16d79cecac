"""Running items, indexed by job, engine and item."""

from __future__ import annotations

from collections.abc import Iterator

from runkeel.jobs.item_task import ItemTask

TaskKey = tuple[str, str]


class RunningItems:
    """Tasks that have been started and have not ended."""

    def __init__(self) -> None:
        self._tasks: dict[TaskKey, ItemTask] = {}
        self._engines: dict[TaskKey, str] = {}
        self._by_engine: dict[str, dict[TaskKey, ItemTask]] = {}
        self._by_job: dict[str, dict[TaskKey, ItemTask]] = {}
        self._by_item: dict[str, dict[TaskKey, ItemTask]] = {}

    def __len__(self) -> int:
        return len(self._tasks)

    def __iter__(self) -> Iterator[ItemTask]:
        return iter(list(self._tasks.values()))

    def add(self, task: ItemTask) -> None:
        """Add a task; its engine must be set, or None if it needs no engine."""
        self._tasks[task.key] = task
        self._by_job.setdefault(task.key[0], {})[task.key] = task
        self._by_item.setdefault(task.key[1], {})[task.key] = task
        if task.engine is not None:
            self._engines[task.key] = task.engine.incarnation
            self._by_engine.setdefault(task.engine.incarnation, {})[task.key] = task

    def remove(self, task: ItemTask) -> None:
        """Remove a task; does nothing if it is not running."""
        if self._tasks.pop(task.key, None) is None:
            return
        _remove_from_index(self._by_job, task.key[0], task.key)
        _remove_from_index(self._by_item, task.key[1], task.key)
        engine = self._engines.pop(task.key, None)
        if engine is not None:
            _remove_from_index(self._by_engine, engine, task.key)

    def has_item(self, item_id: str) -> bool:
        """Return whether an item is running for any job."""
        return item_id in self._by_item

    def of_item(self, item_id: str) -> ItemTask | None:
        """Return any task that runs an item."""
        return next(iter(self._by_item.get(item_id, {}).values()), None)

    def of_job(self, job_id: str) -> list[ItemTask]:
        """Return the running tasks of a job."""
        return list(self._by_job.get(job_id, {}).values())

    def on_engine(self, incarnation: str) -> list[ItemTask]:
        """Return the tasks that run on an engine."""
        return list(self._by_engine.get(incarnation, {}).values())

    def clear(self) -> None:
        self.__init__()


def _remove_from_index(index: dict[str, dict[TaskKey, ItemTask]], name: str, key: TaskKey) -> None:
    entries = index[name]
    del entries[key]
    if not entries:
        del index[name]
