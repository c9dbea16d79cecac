"""Carries out commands: each changes one configuration object, conditionally if asked."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from loguru import logger
from pydantic import ValidationError

from runkeel.api.configuration import SPEC_CLASSES, ObjectKind, OperatorSpec
from runkeel.api.interfaces import Configuration
from runkeel.errors import ErrorCode, RunkeelError, not_run
from runkeel.operators import metrics
from runkeel.operators.sources import Row
from runkeel.operators.statements import Change, ChangeMode
from runkeel.operators.tokens import ROLE_OPERATE

COMMAND_TIMEOUT_SECONDS = 10.0
REMEMBERED_COMMANDS = 500
ACCEPTED = "accepted"
UNCHANGED = "unchanged"
DRY_RUN = "dry_run"
NOT_FOUND = "not_found"
COMMAND_COLUMNS = ("command_id", "operator", "command", "outcome", "generation", "ago_ms")

Edit = Callable[[dict[str, Any] | None], dict[str, Any]]
Adviser = Callable[[Change], list[str]]
"""Returns warnings for a change, which don't stop it."""


class ChangeResult(Protocol):
    """What a write came to."""

    generation: int
    changed: bool


class Writer(Protocol):
    """Writes configuration objects by compare-and-swap."""

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
    ) -> ChangeResult:
        """Change one object; returns only when the change is known to be in the store."""

    def outcome_of(self, command_id: str) -> ChangeResult | None:
        """Return what a command came to, or None when the store does not hold it."""


@dataclass(frozen=True, slots=True)
class CommandOutcome:
    """What a command came to.

    Attributes:
        spec: the new spec; only of a dry run.
        present: the present spec; only of a dry run, empty when there is none.
    """

    command_id: str
    outcome: str
    generation: int
    warnings: tuple[str, ...] = ()
    spec: dict[str, Any] = field(default_factory=dict)
    present: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _Remembered:
    command_id: str
    operator: str
    text: str
    outcome: str
    generation: int
    at: float


class CommandRunner:
    """Carries out commands and remembers the latest ones that came to this node."""

    def __init__(
        self,
        configuration: Configuration,
        writer: Writer,
        adviser: Adviser | None = None,
        timeout_seconds: float = COMMAND_TIMEOUT_SECONDS,
    ) -> None:
        self._configuration = configuration
        self._writer = writer
        self._adviser = adviser
        self._timeout_seconds = timeout_seconds
        self._remembered: deque[_Remembered] = deque(maxlen=REMEMBERED_COMMANDS)

    def run(self, text: str, change: Change, command_id: str, operator: str) -> CommandOutcome:
        """Carry out a command and write its audit line.

        Raises:
            RunkeelError: CONFLICT, NOT_FOUND and their like (NOT_RUN), or
                STORE_OUTCOME_UNKNOWN: ``show command ID`` settles it.
        """
        try:
            outcome = self._run(change, command_id, operator)
        except RunkeelError as error:
            self._audit(text, change, command_id, operator, str(error.code), 0)
            raise
        self._audit(text, change, command_id, operator, outcome.outcome, outcome.generation)
        return outcome

    def settle(self, command_id: str) -> CommandOutcome:
        """Look up the outcome of an earlier command in the store.

        Raises:
            RunkeelError: STORE_UNAVAILABLE when the store can't be read.
        """
        result = self._writer.outcome_of(command_id)
        if result is not None:
            return CommandOutcome(command_id, ACCEPTED, result.generation)
        warning = (
            "the store does not hold this command; if its write may still be on its way, send "
            "the same command again with the same id"
        )
        return CommandOutcome(command_id, NOT_FOUND, 0, (warning,))

    def rows(self) -> list[Row]:
        """Return the latest commands, newest first, in COMMAND_COLUMNS."""
        now = time.monotonic()
        return [
            (
                entry.command_id,
                entry.operator,
                entry.text,
                entry.outcome,
                entry.generation,
                int((now - entry.at) * 1000),
            )
            for entry in reversed(self._remembered)
        ]

    def _run(self, change: Change, command_id: str, operator: str) -> CommandOutcome:
        self._check_operators_remain(change)
        warnings = tuple(self._adviser(change)) if self._adviser else ()
        edit = _edit_of(change)
        if change.dry_run:
            return self._dry_run(change, edit, command_id, warnings)
        result = self._writer.change(
            change.kind,
            change.name,
            edit,
            command_id,
            operator,
            expected_generation=change.expected_generation,
            delete=change.mode is ChangeMode.DELETE,
            timeout_seconds=self._timeout_seconds,
        )
        outcome = ACCEPTED if result.changed else UNCHANGED
        return CommandOutcome(command_id, outcome, result.generation, warnings)

    def _dry_run(
        self, change: Change, edit: Edit, command_id: str, warnings: tuple[str, ...]
    ) -> CommandOutcome:
        """Check a change against the configuration in force without writing."""
        generation = self._configuration.generation(change.kind, change.name)
        if change.expected_generation not in (None, generation):
            raise not_run(
                ErrorCode.CONFLICT,
                f"{change.kind} {change.name!r} is at generation {generation}, "
                f"not {change.expected_generation}",
            )
        present = self._configuration.spec(change.kind, change.name)
        if change.mode is ChangeMode.DELETE:
            if present is None:
                raise _missing(change)
            return CommandOutcome(command_id, DRY_RUN, generation, warnings)
        present_fields = present.model_dump(mode="json") if present is not None else {}
        edited = edit(dict(present_fields) if present is not None else None)
        try:
            spec = SPEC_CLASSES[change.kind].model_validate(edited)
        except ValidationError as error:
            problem = error.errors()[0]
            location = ".".join(str(part) for part in problem["loc"])
            raise not_run(
                ErrorCode.BAD_CONFIGURATION,
                f"{change.kind} {change.name!r}: {location}: {problem['msg']}",
            ) from error
        return CommandOutcome(
            command_id,
            DRY_RUN,
            generation,
            warnings,
            spec.model_dump(mode="json"),
            present_fields,
        )

    def _check_operators_remain(self, change: Change) -> None:
        """Refuse a change after which no operator could operate any more."""
        if change.kind is not ObjectKind.OPERATOR:
            return
        roles = {}
        for name in self._configuration.names(ObjectKind.OPERATOR):
            spec = self._configuration.spec(ObjectKind.OPERATOR, name)
            roles[name] = spec.role if isinstance(spec, OperatorSpec) else ""
        if change.mode is ChangeMode.DELETE:
            roles.pop(change.name, None)
        else:
            roles[change.name] = dict(change.fields).get("role", roles.get(change.name, ""))
        if roles and ROLE_OPERATE not in roles.values():
            raise not_run(ErrorCode.CONFLICT, "no operator with the role operate would remain")

    def _audit(
        self,
        text: str,
        change: Change,
        command_id: str,
        operator: str,
        outcome: str,
        generation: int,
    ) -> None:
        metrics.COMMANDS.labels(change.verb, outcome).inc()
        shown = _redact(text) if change.kind is ObjectKind.OPERATOR else text
        logger.info(
            "operator {} sent {!r}: {}",
            operator,
            shown,
            outcome,
            code="operator_command",
            operator=operator,
            command_id=command_id,
            outcome=outcome,
            generation=generation,
        )
        entry = _Remembered(command_id, operator, shown, outcome, generation, time.monotonic())
        self._remembered.append(entry)


def _edit_of(change: Change) -> Edit:
    """Return the function that makes the new spec from the present one."""

    def edit(present: dict[str, Any] | None) -> dict[str, Any]:
        if change.mode is ChangeMode.UPDATE and present is None:
            raise _missing(change)
        if change.mode is ChangeMode.CREATE and present is not None:
            raise not_run(ErrorCode.CONFLICT, f"{change.kind} {change.name!r} exists already")
        base = {} if change.mode is ChangeMode.REPLACE else present or {}
        return {**base, **dict(change.fields)}

    return edit


def _missing(change: Change) -> RunkeelError:
    codes = {
        ObjectKind.MODEL: ErrorCode.UNKNOWN_MODEL,
        ObjectKind.SERVICE: ErrorCode.UNKNOWN_SERVICE,
        ObjectKind.PRIORITY_CLASS: ErrorCode.UNKNOWN_PRIORITY_CLASS,
    }
    code = codes.get(change.kind, ErrorCode.NOT_FOUND)
    return not_run(code, f"there is no {change.kind} {change.name!r}")


def _redact(text: str) -> str:
    """Cut a command that may hold a token's hash and salt."""
    words = text.split()
    return " ".join(words[:3]) + (" ..." if len(words) > 3 else "")
