"""A writer over an in-memory store that can lose answers and be down."""

from __future__ import annotations

from dataclasses import dataclass

from pydantic import ValidationError

from runkeel.api.configuration import SPEC_CLASSES
from runkeel.errors import ErrorCode, may_have_run, not_run
from tests.weights.fakes import FakeConfiguration


@dataclass(frozen=True)
class Result:
    generation: int
    changed: bool


class FakeWriter:
    """Compare-and-swap over a :class:`FakeConfiguration`."""

    def __init__(self, configuration: FakeConfiguration) -> None:
        self.configuration = configuration
        self.outcomes = {}
        self.down = False
        self.lose_answers = False

    def change(
        self, kind, name, edit, command_id, changed_by, expected_generation=None, delete=False,
        timeout_seconds=10.0,
    ):  # fmt: skip
        if self.down:
            raise not_run(ErrorCode.STORE_UNAVAILABLE, "down")
        if command_id in self.outcomes:
            return self.outcomes[command_id]
        generation = self.configuration.generation(kind, name)
        if expected_generation not in (None, generation):
            raise not_run(ErrorCode.CONFLICT, f"at generation {generation}")
        present = self.configuration.spec(kind, name)
        spec = None
        if not delete:
            edited = edit(present.model_dump(mode="json") if present else None)
            try:
                spec = SPEC_CLASSES[kind].model_validate(edited)
            except ValidationError as error:
                raise not_run(ErrorCode.BAD_CONFIGURATION, str(error)) from error
        elif present is None:
            raise not_run(ErrorCode.NOT_FOUND, name)
        if spec == present:
            return Result(generation, False)
        self.configuration.put(kind, name, spec)
        self.outcomes[command_id] = Result(generation + 1, True)
        if self.lose_answers:
            raise may_have_run(ErrorCode.STORE_OUTCOME_UNKNOWN, "no answer")
        return self.outcomes[command_id]

    def outcome_of(self, command_id):
        if self.down:
            raise not_run(ErrorCode.STORE_UNAVAILABLE, "down")
        return self.outcomes.get(command_id)
