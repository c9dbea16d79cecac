"""Writes of operators' configuration: compare-and-swap, and settling of lost answers.

A command's id is kept in the object it changed. Sending the same command again is therefore
idempotent as long as fewer than 16 later changes have been made to the object.
"""

from __future__ import annotations

import json
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import gevent
from pydantic import ValidationError

from runkeel.api.configuration import SPEC_CLASSES, ObjectKind
from runkeel.errors import ErrorCode, RunkeelError, Verdict, may_have_run, not_run
from runkeel.platform.object_api import ObjectContent, ObjectStore
from runkeel.state import metrics
from runkeel.state.replicated_state import RecordSource, ReplicatedState
from runkeel.state.spread import Spread
from runkeel.state.store_records import put_back, record_from_object
from runkeel.state.versioned_record import MACHINE_KIND, VersionedRecord, canonical_json

KEPT_COMMAND_IDS = 16
MAX_NAME_LENGTH = 200
MAX_COMMAND_ID_LENGTH = 64
MAX_SPEC_BYTES = 32 * 1024
MAX_OBJECTS_PER_KIND = 20_000
ATTEMPT_TIMEOUT_SECONDS = 2.0
LOOK_UP_SECONDS = 0.5
FIRST_PAUSE_SECONDS = 0.02
MAX_PAUSE_SECONDS = 1.0

Edit = Callable[[dict[str, Any] | None], dict[str, Any]]


@dataclass(frozen=True, slots=True)
class ChangeOutcome:
    """An accepted command: the generation it made, and whether anything was written."""

    generation: int
    changed: bool


@dataclass(frozen=True, slots=True)
class _Command:
    kind: ObjectKind
    name: str
    edit: Edit
    command_id: str
    changed_by: str
    expected_generation: int | None
    delete: bool


@dataclass(frozen=True, slots=True)
class _UnsettledWrite:
    """A write that may have had effect, or may still have."""

    content: ObjectContent
    expected_revision: int


class _Attempts:
    """Progress of one command: time left, pauses, and the write whose outcome is unknown."""

    def __init__(self, timeout_seconds: float, random_source: random.Random) -> None:
        self._deadline = time.monotonic() + timeout_seconds
        self._random = random_source
        self._pause_seconds = FIRST_PAUSE_SECONDS
        self.unsettled: _UnsettledWrite | None = None
        self.last_error: RunkeelError | None = None

    @property
    def remaining_seconds(self) -> float:
        return self._deadline - time.monotonic()

    @property
    def timeout_seconds(self) -> float:
        return max(0.01, min(ATTEMPT_TIMEOUT_SECONDS, self.remaining_seconds))

    def pause(self) -> None:
        """Wait with jitter before the next attempt, longer each time."""
        longest = min(self._pause_seconds, max(0.0, self.remaining_seconds))
        gevent.sleep(self._random.uniform(0.0, longest))
        self._pause_seconds = min(self._pause_seconds * 2.0, MAX_PAUSE_SECONDS)


class ConfigurationWriter:
    """Changes configuration objects in the store, then applies and pushes them at once."""

    def __init__(
        self,
        state: ReplicatedState,
        spread: Spread,
        store: ObjectStore,
        random_source: random.Random | None = None,
    ) -> None:
        self._state = state
        self._spread = spread
        self._store = store
        self._random = random_source or random.Random()

    def change(
        self,
        kind: ObjectKind,
        name: str,
        edit: Edit,
        command_id: str,
        changed_by: str,
        expected_generation: int | None = None,
        delete: bool = False,
        timeout_seconds: float = 10.0,
    ) -> ChangeOutcome:
        """Change one object; return when the change is known to be in the store.

        Args:
            edit: makes the new spec from the present one (None: no such object). Called again
                on top of whatever won a lost race, unless ``expected_generation`` is given. May
                raise RunkeelError CONFLICT. Not called when ``delete`` is true.
            command_id: the same command sent again under its id changes nothing more.
            expected_generation: refuse unless this is the present generation (0: no object).
            delete: mark the object deleted.

        Raises:
            RunkeelError: BAD_CONFIGURATION, NOT_FOUND (delete of nothing) or CONFLICT, all
                NOT_RUN; STORE_UNAVAILABLE (NOT_RUN: nothing was written and nothing will be);
                STORE_OUTCOME_UNKNOWN (MAY_HAVE_RUN: send it again, or ask :meth:`outcome_of`).
        """
        _check_identifiers(name, command_id)
        command = _Command(
            ObjectKind(kind), name, edit, command_id, changed_by, expected_generation, delete
        )
        attempts = _Attempts(timeout_seconds, self._random)
        # The store may have been restored older, and this node may have missed a push.
        self._spread.look_up_everywhere(kind, name, min(LOOK_UP_SECONDS, timeout_seconds / 4))
        while attempts.remaining_seconds > 0:
            try:
                outcome = self._attempt(command, attempts)
            except RunkeelError as error:
                if error.code is not ErrorCode.STORE_UNAVAILABLE:
                    raise
                attempts.last_error = error
                outcome = None
            if outcome is not None:
                return outcome
            attempts.pause()
        raise _undecided(command, attempts)

    def outcome_of(
        self,
        command_id: str,
        kind: ObjectKind | None = None,
        name: str | None = None,
        timeout_seconds: float = 5.0,
    ) -> ChangeOutcome | None:
        """Look a command up, first among the held records, which come from the store only.

        Args:
            command_id: the command.
            kind: with ``name``, reads that one object; without, the whole store is listed.
            name: the object that the command was to change.
            timeout_seconds: limit of the store's answer.

        Returns:
            The outcome, or None when the store doesn't hold the command. A write that is still
            on its way may land later; sending the same command again settles it for good.

        Raises:
            RunkeelError: STORE_UNAVAILABLE.
        """
        held = _find(command_id, self._held_records())
        if held is not None:
            return held
        if kind is not None and name is not None:
            stored = self._store.read(kind, name, timeout_seconds)
            items = (stored,) if stored is not None else ()
        else:
            items = self._store.list_objects(timeout_seconds).items
        records = [record for record in map(record_from_object, items) if record is not None]
        self._take(records)
        return _find(command_id, records)

    def _held_records(self) -> list[VersionedRecord]:
        kinds = (kind for kind in self._state.kinds() if kind != MACHINE_KIND)
        return [record for kind in kinds for record in self._state.records(kind)]

    def _attempt(self, command: _Command, attempts: _Attempts) -> ChangeOutcome | None:
        """Read the object and try the change once; None: try again."""
        stored = self._store.read(command.kind, command.name, attempts.timeout_seconds)
        record = record_from_object(stored)
        if record is not None:
            self._take([record])
            if command.command_id in record.command_ids:
                return _outcome_in(record, command.command_id)
        held = self._state.get(command.kind, command.name)
        if held is not None and command.command_id in held.command_ids:
            # Held records come from the store only, so it was accepted there.
            return _outcome_in(held, command.command_id)
        revision = stored.revision if stored is not None else 0
        if held is not None and held != record:
            put_back(self._store, held, revision, attempts.timeout_seconds)
            return None
        if attempts.unsettled is not None:
            return self._settle(command, attempts, revision, held)
        content = self._next_content(command, held)
        if content is None:
            return ChangeOutcome(held.generation if held is not None else 0, changed=False)
        return self._write(command, attempts, content, revision)

    def _settle(
        self,
        command: _Command,
        attempts: _Attempts,
        revision: int,
        held: VersionedRecord | None,
    ) -> ChangeOutcome | None:
        """Settle a write whose answer was lost and whose id is not in the object."""
        unsettled = attempts.unsettled
        generation = held.generation if held is not None else 0
        made = unsettled.content.generation
        # The generation is checked too: a restored store may count the same revisions again.
        if revision == unsettled.expected_revision and made == generation + 1:
            # It may still be on its way. The same write again: only one of the two can win.
            return self._write(command, attempts, unsettled.content, revision)
        if revision <= unsettled.expected_revision or not (
            made <= generation < made + KEPT_COMMAND_IDS
        ):
            # The store was restored, or so many changes followed that the id may have gone.
            raise may_have_run(ErrorCode.STORE_OUTCOME_UNKNOWN, _unknown_detail(command))
        # Another write has taken that revision, so the lost one never can.
        attempts.unsettled = None
        return None

    def _next_content(
        self, command: _Command, held: VersionedRecord | None
    ) -> ObjectContent | None:
        """Return the content to write, or None when nothing would change."""
        present = held if held is not None and not held.deleted else None
        generation = held.generation if held is not None else 0
        _check_expected(command, held)
        present_spec = json.loads(present.payload) if present is not None else None
        if command.delete:
            if present is None:
                detail = f"no {command.kind} named {command.name!r}"
                raise not_run(ErrorCode.NOT_FOUND, detail)
            spec = present_spec
        else:
            spec = self._edited_spec(command, present_spec)
            if present is not None and canonical_json(spec) == present.payload:
                return None
        earlier = held.command_ids if held is not None else ()
        return ObjectContent(
            generation=generation + 1,
            spec=spec,
            deleted=command.delete,
            command_ids=(*earlier, command.command_id)[-KEPT_COMMAND_IDS:],
            changed_by=command.changed_by,
        )

    def _edited_spec(self, command: _Command, present: dict[str, Any] | None) -> dict[str, Any]:
        if present is None and len(self._state.records(command.kind)) >= MAX_OBJECTS_PER_KIND:
            detail = f"there are {MAX_OBJECTS_PER_KIND} objects of kind {command.kind} already"
            raise not_run(ErrorCode.BAD_CONFIGURATION, detail)
        edited = command.edit(present)
        try:
            parsed = SPEC_CLASSES[command.kind].model_validate(edited)
        except ValidationError as error:
            raise not_run(ErrorCode.BAD_CONFIGURATION, _describe(command, error)) from error
        spec = parsed.model_dump(mode="json", exclude_unset=True)
        if len(canonical_json(spec)) > MAX_SPEC_BYTES:
            detail = f"{command.kind} {command.name!r}: more than {MAX_SPEC_BYTES} bytes"
            raise not_run(ErrorCode.BAD_CONFIGURATION, detail)
        return spec

    def _write(
        self, command: _Command, attempts: _Attempts, content: ObjectContent, revision: int
    ) -> ChangeOutcome | None:
        try:
            result = self._store.write(
                command.kind, command.name, content, revision, attempts.timeout_seconds
            )
        except RunkeelError as error:
            if error.verdict is not Verdict.NOT_RUN:
                metrics.STORE_WRITES.labels("unknown").inc()
                attempts.unsettled = _UnsettledWrite(content, revision)
            raise
        if not result.accepted:
            metrics.STORE_WRITES.labels("conflict").inc()
            return None
        metrics.STORE_WRITES.labels("accepted").inc()
        record = record_from_object(result.stored)
        if record is not None:
            self._take([record])
        return ChangeOutcome(content.generation, changed=True)

    def _take(self, records: list[VersionedRecord]) -> None:
        taken = self._state.apply(records, RecordSource.WRITE)
        if taken:
            self._spread.push(taken)


def _check_identifiers(name: str, command_id: str) -> None:
    if not name or len(name) > MAX_NAME_LENGTH or not name.isprintable() or "/" in name:
        detail = f"name: 1 to {MAX_NAME_LENGTH} printable characters without '/' are wanted"
        raise not_run(ErrorCode.BAD_CONFIGURATION, detail)
    if not command_id or len(command_id) > MAX_COMMAND_ID_LENGTH:
        detail = f"command id: 1 to {MAX_COMMAND_ID_LENGTH} characters are wanted"
        raise not_run(ErrorCode.BAD_CONFIGURATION, detail)


def _check_expected(command: _Command, held: VersionedRecord | None) -> None:
    generation = held.generation if held is not None else 0
    if command.expected_generation in (None, generation):
        return
    by_whom = f", changed by {held.changed_by!r}" if held is not None else ""
    detail = (
        f"{command.kind} {command.name!r} is at generation {generation}{by_whom}; "
        f"expected {command.expected_generation}"
    )
    raise not_run(ErrorCode.CONFLICT, detail)


def _describe(command: _Command, error: ValidationError) -> str:
    first = error.errors()[0]
    field = ".".join(str(part) for part in first["loc"]) or "spec"
    return f"{command.kind} {command.name!r}, field {field}: {first['msg']}"


def _find(command_id: str, records: Iterable[VersionedRecord]) -> ChangeOutcome | None:
    for record in records:
        if command_id in record.command_ids:
            return _outcome_in(record, command_id)
    return None


def _outcome_in(record: VersionedRecord, command_id: str) -> ChangeOutcome:
    """Return the outcome of a command that a record lists; each id made one generation."""
    later = len(record.command_ids) - 1 - record.command_ids.index(command_id)
    return ChangeOutcome(record.generation - later, changed=True)


def _unknown_detail(command: _Command) -> str:
    return (
        f"the store did not say whether command {command.command_id!r} took effect; "
        "the same command may be sent again"
    )


def _undecided(command: _Command, attempts: _Attempts) -> RunkeelError:
    if attempts.unsettled is not None:
        return may_have_run(ErrorCode.STORE_OUTCOME_UNKNOWN, _unknown_detail(command))
    reason = attempts.last_error.detail if attempts.last_error is not None else "too many races"
    return not_run(ErrorCode.STORE_UNAVAILABLE, f"nothing was written: {reason}")
