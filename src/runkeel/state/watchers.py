"""The few readers of the platform: two nodes a zone watch the object API and machine list."""

from __future__ import annotations

import hashlib
import random
import time
from collections.abc import Callable, Iterable

import gevent
from gevent.event import Event
from loguru import logger

from runkeel.api.interfaces import Membership
from runkeel.errors import RunkeelError
from runkeel.platform.machine_list import MachineList, MachineListSource, machine_to_json
from runkeel.platform.object_api import ObjectStore, StoredObject
from runkeel.state import metrics
from runkeel.state.replicated_state import RecordSource, ReplicatedState
from runkeel.state.spread import Spread
from runkeel.state.store_records import put_back, record_from_object
from runkeel.state.versioned_record import MACHINE_KIND, VersionedRecord, canonical_json

WATCHERS_PER_ZONE = 2
WATCH_SECONDS = 30.0
READ_TIMEOUT_SECONDS = 10.0
CATCH_UP_SECONDS = 10.0
"""How long a node that starts waits for its peers before it reads the store."""
FIRST_READ_JITTER_SECONDS = 1.0
SETTLE_SECONDS = (0.1, 0.6)
"""A watch event waits this long for its writer's own push, which makes most of them needless."""
POLL_SPACING_SECONDS = (0.1, 0.3)
FIRST_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 8.0
RELIST_SECONDS = 1_800.0
"""Lists again now and then, in case a restored store counts the same revisions again."""
REPAIR_RETRY_SECONDS = 60.0
RESET_JITTER_SECONDS = 2.0
_SELECTION_RECHECK_SECONDS = 30.0
_TOMBSTONE_PAYLOAD = canonical_json({})


def watcher_rank(node_id: str) -> bytes:
    """Return the rendezvous weight by which a zone's watchers are chosen (highest first)."""
    return hashlib.blake2b(node_id.encode(), digest_size=8, person=b"watcher").digest()


class Backoff:
    """Exponential back-off with full jitter and a cap."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._ceiling = FIRST_BACKOFF_SECONDS

    def reset(self) -> None:
        """Start again from the shortest delay."""
        self._ceiling = FIRST_BACKOFF_SECONDS

    def next_delay(self) -> float:
        """Return how long to wait, in s."""
        delay = self._random.uniform(0.0, self._ceiling)
        self._ceiling = min(self._ceiling * 2.0, MAX_BACKOFF_SECONDS)
        return delay


class Watchers:
    """Reads the platform while this node is one of its zone's watchers."""

    def __init__(
        self,
        state: ReplicatedState,
        spread: Spread,
        membership: Membership,
        store: ObjectStore,
        machine_list: MachineListSource,
        random_source: random.Random | None = None,
    ) -> None:
        self._state = state
        self._spread = spread
        self._membership = membership
        self._store = store
        self._machine_list = machine_list
        self._random = random_source or random.Random()
        self._store_revision: int | None = None
        self._list_due = 0.0
        self._list_version: int | None = None
        self._membership_changed = Event()
        self._tasks: list[gevent.Greenlet] = []
        membership.on_change(self._membership_changed.set)

    def start(self) -> None:
        """Start the two reading tasks."""
        self._tasks = [
            gevent.spawn(self._run, "object_api", self.poll_objects),
            gevent.spawn(self._run, "machine_list", self.poll_machines),
        ]

    def close(self) -> None:
        """Stop reading."""
        gevent.killall(self._tasks)

    @property
    def selected(self) -> bool:
        """Whether this node is one of its zone's watchers."""
        members = self._membership.live_members(self._membership.zone)
        node_ids = {member.node_id for member in members} | {self._membership.node_id}
        ranked = sorted(node_ids, key=watcher_rank, reverse=True)
        return self._membership.node_id in ranked[:WATCHERS_PER_ZONE]

    def _run(self, source: str, poll: Callable[[], None]) -> None:
        self._spread.wait_caught_up(CATCH_UP_SECONDS)
        gevent.sleep(self._random.uniform(0.0, FIRST_READ_JITTER_SECONDS))
        backoff = Backoff(self._random)
        failing = False
        while True:
            if not self.selected:
                self._membership_changed.clear()
                self._membership_changed.wait(_SELECTION_RECHECK_SECONDS)
                continue
            try:
                poll()
            except Exception as error:  # Whatever one answer brings, the next one is read.
                if not isinstance(error, RunkeelError):
                    logger.exception("reading {} failed", source, code="platform_read_failed")
                metrics.STORE_READS.labels(source, "failed").inc()
                if not failing:
                    logger.warning("{} can't be read: {}", source, error, code="platform_down")
                failing = True
                gevent.sleep(backoff.next_delay())
                continue
            metrics.STORE_READS.labels(source, "done").inc()
            if failing:
                logger.info("{} can be read again", source, code="platform_up")
            failing = False
            backoff.reset()
            gevent.sleep(self._random.uniform(*POLL_SPACING_SECONDS))

    def poll_objects(self) -> None:
        """Read the object API once: a list at first and after a reset, else a watch.

        Raises:
            RunkeelError: STORE_UNAVAILABLE.
        """
        if self._store_revision is None or time.monotonic() >= self._list_due:
            self._list_objects()
            return
        # Jitter keeps the watchers' long polls from falling into step.
        wait_seconds = WATCH_SECONDS * self._random.uniform(0.7, 1.0)
        result = self._store.watch(self._store_revision, wait_seconds)
        if result.reset or result.revision < self._store_revision:
            logger.warning("the store has lost history; listing again", code="store_reset")
            self._store_revision = None
            # All watchers hear of it at the same moment.
            gevent.sleep(self._random.uniform(0.0, RESET_JITTER_SECONDS))
            return
        self._take_objects(result.items)
        self._store_revision = result.revision

    def _list_objects(self) -> None:
        listed = self._store.list_objects(READ_TIMEOUT_SECONDS)
        self._take_objects(listed.items)
        self._store_revision = listed.revision
        self._spread.mark_caught_up()
        whole = self._repair_store(listed.items + self._missing_from(listed.items))
        until_next = RELIST_SECONDS if whole else REPAIR_RETRY_SECONDS
        self._list_due = time.monotonic() + until_next * self._random.uniform(0.7, 1.0)

    def _take_objects(self, items: Iterable[StoredObject]) -> None:
        records = [record_from_object(item) for item in items]
        self._take([record for record in records if record is not None])

    def _take(self, records: list[VersionedRecord]) -> None:
        news = [record for record in records if record.supersedes(self._state.get(*record.key))]
        if not news:
            return
        gevent.sleep(self._random.uniform(*SETTLE_SECONDS))
        taken = self._state.apply(news, RecordSource.STORE)
        if taken:
            self._spread.push(taken)

    def _missing_from(self, items: Iterable[StoredObject]) -> tuple[StoredObject, ...]:
        """Return stand-ins, with revision 0, for held objects that the store doesn't show."""
        listed = {(item.kind, item.name) for item in items}
        return tuple(
            StoredObject(record.kind, record.name, 0, None)
            for kind in self._state.kinds()
            if kind != MACHINE_KIND
            for record in self._state.records(kind)
            if record.key not in listed
        )

    def _repair_store(self, items: Iterable[StoredObject]) -> bool:
        """Put held records back where the store, restored from older data, is behind.

        Only after a list: an event of a watch is often older than what its writer has pushed.

        Returns:
            Whether every write was answered.
        """
        behind = [item for item in items if self._is_behind(item)]
        self._random.shuffle(behind)
        try:
            for item in behind:
                self._put_back(item)
        except RunkeelError as error:
            logger.warning("the store was not repaired: {}", error, code="repair_failed")
            return False
        return True

    def _put_back(self, item: StoredObject) -> None:
        held = self._state.get(item.kind, item.name)
        if held is not None and put_back(self._store, held, item.revision, READ_TIMEOUT_SECONDS):
            logger.warning("put {} back into the store", held.key, code="store_repaired")

    def _is_behind(self, item: StoredObject) -> bool:
        held = self._state.get(item.kind, item.name)
        if held is None or item.kind == MACHINE_KIND:
            return False
        record = record_from_object(item)
        return record is None or (held != record and held.supersedes(record))

    def poll_machines(self) -> None:
        """Read the machine list once.

        Raises:
            RunkeelError: STORE_UNAVAILABLE.
        """
        if self._list_version is None:
            listed = self._machine_list.poll(0, 0.0)
        else:
            wait_seconds = WATCH_SECONDS * self._random.uniform(0.7, 1.0)
            listed = self._machine_list.poll(self._list_version, wait_seconds)
        if self._list_version is not None and listed.version < self._list_version:
            # An old answer. Its entries merge harmlessly, but polling on it would spin.
            gevent.sleep(self._random.uniform(0.5, 1.0))
            return
        self._take(machine_records(listed, self._state))
        self._list_version = listed.version


def machine_records(listed: MachineList, state: ReplicatedState) -> list[VersionedRecord]:
    """Return the list's news: changed machines, and tombstones for those that it lacks.

    An item that can't be parsed is left as it is held; it is not taken for gone.
    """
    records = []
    for item in listed.items:
        held = state.get(MACHINE_KIND, item.machine_id)
        if held is not None and held.generation >= item.version:
            continue
        entry = item.parse()
        if entry is None:
            metrics.UNPARSABLE_RECORDS.labels(MACHINE_KIND).inc()
            continue
        payload = canonical_json(machine_to_json(entry))
        records.append(VersionedRecord(MACHINE_KIND, item.machine_id, item.version, payload))
    shown = {item.machine_id for item in listed.items}
    records.extend(
        VersionedRecord(MACHINE_KIND, held.name, listed.version, _TOMBSTONE_PAYLOAD, deleted=True)
        for held in state.records(MACHINE_KIND)
        if held.name not in shown and not held.deleted and held.generation < listed.version
    )
    return records
