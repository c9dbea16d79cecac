"""HTTP routes for trainers; see docs/trainers.md."""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, StringConstraints, ValidationError

from runkeel.api.http import HttpRequest, HttpResponse, HttpRoutes
from runkeel.api.interfaces import Configuration
from runkeel.errors import ErrorCode, not_run
from runkeel.rollouts.hand_over import Batch, Pull
from runkeel.rollouts.options import RolloutOptions
from runkeel.rollouts.sample import Sample, StepKey
from runkeel.rollouts.step import Submission, SubmissionResult, TaskSpec

_MAXIMUM_TOKENS = 1_000_000
_MAXIMUM_VERSION = 2**62
_MAXIMUM_CURSOR = 2**31 - 1
_DEFAULT_BATCH_SAMPLES = 64
_IDENTIFIER = re.compile(r"[A-Za-z0-9._:-]{1,128}")

Identifier = Annotated[str, StringConstraints(pattern=rf"^{_IDENTIFIER.pattern}$")]


class TaskBody(BaseModel):
    """A task in the body of a submission."""

    model_config = ConfigDict(extra="forbid", strict=True)

    task_id: Identifier
    group: str = Field("", max_length=128)
    prompt: str
    max_tokens: int = Field(gt=0, le=_MAXIMUM_TOKENS)
    expected_tokens: int = Field(0, ge=0, le=_MAXIMUM_TOKENS)


class StepBody(BaseModel):
    """The body of a submission."""

    model_config = ConfigDict(extra="forbid", strict=True)

    step_id: Identifier
    tasks: list[TaskBody] = Field(min_length=1)
    version: int = Field(ge=0, le=_MAXIMUM_VERSION)


class TrainerApi:
    """Parses trainers' requests and renders the answers."""

    def __init__(
        self,
        configuration: Configuration,
        options: RolloutOptions,
        submit: Callable[[Submission], SubmissionResult],
        pull: Callable[[StepKey, Pull], Batch | None],
    ) -> None:
        self._configuration = configuration
        self._options = options
        self._submit = submit
        self._pull = pull

    def register(self, routes: HttpRoutes) -> None:
        """Add the routes."""
        routes.add("POST", "/v1/models/{model}/steps", self.submit)
        routes.add("GET", "/v1/models/{model}/steps/{step}/batches/{cursor}", self.pull)

    def submit(self, request: HttpRequest) -> HttpResponse:
        """Open a step."""
        model = self._model(request)
        if len(request.body) > self._options.maximum_step_bytes:
            raise not_run(ErrorCode.BODY_TOO_LARGE, "the step is too large")
        try:
            body = StepBody.model_validate_json(request.body)
        except ValidationError as error:
            raise not_run(ErrorCode.BAD_REQUEST, _first_problem(error)) from error
        if len(body.tasks) > self._options.maximum_tasks_per_step:
            raise not_run(ErrorCode.BODY_TOO_LARGE, "the step has too many tasks")
        if len({task.task_id for task in body.tasks}) != len(body.tasks):
            raise not_run(ErrorCode.BAD_REQUEST, "a task id occurs twice")
        tasks = tuple(
            TaskSpec(task.task_id, task.group, task.prompt, task.max_tokens, task.expected_tokens)
            for task in body.tasks
        )
        result = self._submit(Submission(StepKey(model, body.step_id), tasks, body.version))
        return _json(
            200,
            {
                "step_id": body.step_id,
                "tasks": result.tasks,
                "delivered": result.delivered,
                "adopted": result.adopted,
            },
        )

    def pull(self, request: HttpRequest) -> HttpResponse:
        """Hand over a batch."""
        step = StepKey(self._model(request), request.parameters["step"])
        if not _IDENTIFIER.fullmatch(step.step_id):
            raise not_run(ErrorCode.UNKNOWN_STEP, "no step has such an id")
        if "version" not in request.query:
            raise not_run(ErrorCode.BAD_REQUEST, "version is missing")
        wait_limit = int(self._options.maximum_wait_seconds * 1000)
        pull = Pull(
            cursor=_number(request.parameters["cursor"], "cursor", _MAXIMUM_CURSOR),
            trainer_version=_number(request.query["version"], "version", _MAXIMUM_VERSION),
            wait_seconds=min(
                wait_limit, _number(request.query.get("wait_ms", "0"), "wait_ms", _MAXIMUM_CURSOR)
            )
            / 1000,
            maximum_samples=max(
                1,
                _number(
                    request.query.get("max", str(_DEFAULT_BATCH_SAMPLES)), "max", _MAXIMUM_CURSOR
                ),
            ),
        )
        batch = self._pull(step, pull)
        if batch is None:
            return _json(202, {"cursor": pull.cursor, "samples": [], "last": False})
        return _json(200, _render(batch))

    def _model(self, request: HttpRequest) -> str:
        model = request.parameters["model"]
        if not _IDENTIFIER.fullmatch(model) or self._configuration.model(model) is None:
            raise not_run(ErrorCode.UNKNOWN_MODEL, "no such model")
        return model


def _number(text: str, name: str, limit: int) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 20 or int(text) > limit:
        code = ErrorCode.BAD_CURSOR if name == "cursor" else ErrorCode.BAD_REQUEST
        raise not_run(code, f"{name} must be a number from 0 to {limit}")
    return int(text)


def _first_problem(error: ValidationError) -> str:
    problem = error.errors(include_url=False, include_input=False)[0]
    place = ".".join(str(part) for part in problem["loc"])
    return f"{place}: {problem['msg']}" if place else problem["msg"]


def _render(batch: Batch) -> dict[str, object]:
    return {
        "cursor": batch.cursor,
        "samples": [_render_sample(sample) for sample in batch.samples],
        "last": batch.last,
    }


def _render_sample(sample: Sample) -> dict[str, object]:
    return {
        "task_id": sample.task_id,
        "group": sample.group,
        "token_ids": sample.token_ids,
        "versions": [
            {"version": part.version, "first": part.first, "count": part.count}
            for part in sample.versions
        ],
        "score": sample.score,
        "finish_reason": sample.finish_reason,
    }


def _json(status: int, content: dict[str, object]) -> HttpResponse:
    body = json.dumps(content, separators=(",", ":")).encode()
    return HttpResponse(status, [("Content-Type", "application/json")], body)
