"""Runs one generation on one engine, from the beginning or resuming an earlier run."""

from __future__ import annotations

import enum
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from runkeel.api.backend_protocol import BackendProtocol, GenerationRequest, ResponseClass
from runkeel.backends.http_connection import HttpResponseStream
from runkeel.clock import steady_seconds
from runkeel.errors import ErrorCode, RunkeelError, Verdict, may_have_run
from runkeel.gateway.backends import BackendState
from runkeel.gateway.event_order import MAX_EVENT_BYTES, is_next_event
from runkeel.jobs.job_documents import MAX_UNDIVIDED_ITEM_BYTES, content_bytes
from runkeel.quarantine.quarantine import WatchedRequest

RESPONSE_TIMEOUT_SECONDS = 2.0
"""Time limit for the start of the response."""

STALL_TIMEOUT_SECONDS = 1.2
"""Longest gap between two events; for the first event, since the start of the run."""

LOADING_STALL_TIMEOUT_SECONDS = 4.0
"""Longest gap between two events while the engine is loading a version."""

MAX_OUTPUT_BYTES = MAX_UNDIVIDED_ITEM_BYTES
"""Largest text of a generation, as JSON in bytes; a larger one could not be stored as a result."""

MAX_FAILURE_BODY_BYTES = 1024 * 1024
"""Maximum number of bytes read of the body of a failure response."""

_UNPROCESSABLE = 422
_revisions = itertools.count(1)


class RunOutcome(enum.Enum):
    """How a run ended."""

    COMPLETE = "complete"
    BROKEN = "broken"
    """A failure during or after sending the request that no other outcome describes.

    Examples are a lost connection, a stall, and a failure response that does not count as a failed
    attempt. Events received so far remain valid.
    """
    REFUSED = "refused"
    """The engine rejected the request without running it."""
    UNREACHABLE = "unreachable"
    """The connection could not be established, so the engine did not run it."""
    FAILED = "failed"
    """The engine responded with a failure that counts as a failed attempt."""
    IMPOSSIBLE = "impossible"
    """The engine rejected the request as unprocessable; retrying cannot succeed."""
    MOVED = "moved"
    """Aborted by the scheduler, to be resumed on another engine."""
    OLD_VERSION = "old_version"
    """The weight version is not allowed: too old, or mixed where one version is required."""


@dataclass(slots=True)
class PartialOutput:
    """Output received so far for a generation.

    Attributes:
        pieces: data of the events received.
        versions: weight versions that generated the events, in order of appearance.
        complete: the end of the generation was received.
        revision: distinguishes the outputs of different runs; unique within the process, and
            changed when the output is cleared.
    """

    pieces: list[str] = field(default_factory=list)
    last_event_id: str | None = None
    versions: list[int] = field(default_factory=list)
    complete: bool = False
    revision: int = field(default_factory=lambda: next(_revisions))

    def clear(self) -> None:
        """Discard everything, to restart from the beginning."""
        self.pieces.clear()
        self.versions.clear()
        self.last_event_id = None
        self.complete = False
        self.revision = next(_revisions)

    @property
    def precedence(self) -> tuple[int, int]:
        """Sort key among outputs of one item, where larger is better.

        Outputs are compared by their oldest weight version, then by their number of events.
        """
        return min(self.versions, default=0), len(self.pieces)

    def fixed_version(self, single_version: bool) -> int:
        """Return the weight version that has to generate the rest; 0 if any version may."""
        return self.versions[0] if single_version and self.versions else 0

    def satisfies_versions(self, min_version: int, single_version: bool) -> bool:
        """Return whether the output complies with a job's restrictions on weight versions."""
        if any(version < min_version for version in self.versions):
            return False
        return not single_version or len(self.versions) <= 1


class GenerationRun:
    """One run; appends events to a partial output as they arrive.

    Args:
        watched: records whether the engine crashed under the request.
        partial: output of earlier runs, extended in place.
        min_version: oldest weight version allowed.
        single_version: all events must come from one weight version.
        loading: returns whether the engine is loading a version, which pauses its streams.
    """

    def __init__(
        self,
        protocol: BackendProtocol,
        engine: BackendState,
        request: GenerationRequest,
        watched: WatchedRequest,
        partial: PartialOutput,
        min_version: int,
        single_version: bool,
        loading: Callable[[], bool] = lambda: False,
    ) -> None:
        self._watched = watched
        self._protocol = protocol
        self._engine = engine
        self._request = request
        self._partial = partial
        self._min_version = min_version
        self._single_version = single_version
        self.loading = loading
        self._output_bytes = 0
        """Size of the output as JSON; 0 before the run's first event."""
        self.events = 0
        self.first_event_at = 0.0
        self.last_progress_at = 0.0
        self.detail = ""
        self._stream: HttpResponseStream | None = None
        self._moved = False

    def abort_for_move(self) -> None:
        """Abort the run with outcome MOVED; one that has no response yet is not interrupted."""
        self._moved = True
        if self._stream is not None:
            self._stream.abort()

    def run(self, deadline: float) -> RunOutcome:
        """Run to completion or until the deadline, a steady clock time in seconds."""
        remaining = deadline - steady_seconds()
        outgoing = self._protocol.encode_generation(self._request, self._engine.backend, remaining)
        self.last_progress_at = steady_seconds()
        try:
            first_deadline = min(deadline, steady_seconds() + RESPONSE_TIMEOUT_SECONDS)
            stream = self._engine.pool.open_stream(outgoing, first_deadline)
        except RunkeelError as error:
            self.detail = error.detail
            self._watched.record_failure(self._engine, error)
            self._watched.return_trial()
            return _outcome_without_response(error)
        self._watched.record_delivery()
        self._stream = stream
        try:
            return self._read(stream, deadline)
        finally:
            self._stream = None
            stream.close()

    def _read(self, stream: HttpResponseStream, deadline: float) -> RunOutcome:
        request_id = self._request.request_id
        response_class = self._protocol.classify(request_id, stream.status, stream.headers)
        if stream.status == _UNPROCESSABLE and response_class is ResponseClass.FAILURE:
            return RunOutcome.IMPOSSIBLE
        if response_class is ResponseClass.FOREIGN:
            # The engine may still run this request, and stops once its connection is gone.
            stream.abort()
            self.detail = f"status {stream.status} belongs to another request"
            return RunOutcome.BROKEN
        if response_class is not ResponseClass.SUCCESS:
            return self._drain_failure(stream, response_class)
        version = self._protocol.weight_version(stream.headers)
        if version and version < self._min_version:
            return RunOutcome.OLD_VERSION
        try:
            return self._read_events(stream, version, deadline)
        except RunkeelError as error:
            self.detail = error.detail
            if self._moved:
                return RunOutcome.MOVED
            self._watched.record_failure(self._engine, error)
            return RunOutcome.BROKEN

    def _drain_failure(
        self, stream: HttpResponseStream, response_class: ResponseClass
    ) -> RunOutcome:
        self.detail = f"status {stream.status}"
        try:
            stream.read_body(steady_seconds() + STALL_TIMEOUT_SECONDS, MAX_FAILURE_BODY_BYTES)
        except RunkeelError as error:
            self.detail += f", {error.detail}"
        if response_class in (ResponseClass.REFUSED, ResponseClass.MISDIRECTED):
            return RunOutcome.REFUSED
        if response_class is ResponseClass.FAILURE and self._protocol.is_failed_attempt(
            stream.status
        ):
            return RunOutcome.FAILED
        return RunOutcome.BROKEN

    def _read_events(self, stream: HttpResponseStream, version: int, deadline: float) -> RunOutcome:
        buffer = b""
        while (chunk := self._next_chunk(stream, deadline)) is not None:
            buffer += chunk
            *blocks, buffer = buffer.split(b"\n\n")
            for block in blocks:
                version = self._append_event(block, version)
                if version < 0:
                    return RunOutcome.OLD_VERSION
            if len(buffer) > MAX_EVENT_BYTES:
                raise may_have_run(
                    ErrorCode.BACKEND_LOST, f"event of more than {MAX_EVENT_BYTES} bytes"
                )
        self._check_end(stream, buffer)
        self._partial.complete = True
        self._engine.last_response_at = steady_seconds()
        self._watched.record_success()
        return RunOutcome.COMPLETE

    def _check_end(self, stream: HttpResponseStream, unfinished_event: bytes) -> None:
        """Raise TRUNCATED_ANSWER if the end of a stream is not the end of the generation."""
        if unfinished_event.strip():
            raise may_have_run(
                ErrorCode.TRUNCATED_ANSWER,
                f"the stream ended inside an event, after {len(unfinished_event)} bytes of it",
            )
        if stream.delimited_by_close and not self._partial.pieces:
            raise may_have_run(ErrorCode.TRUNCATED_ANSWER, "the connection ended before any event")

    def _next_chunk(self, stream: HttpResponseStream, deadline: float) -> bytes | None:
        """Return the next bytes; None at the end. Raises RunkeelError when the engine stalls."""
        while True:
            limit = LOADING_STALL_TIMEOUT_SECONDS if self.loading() else STALL_TIMEOUT_SECONDS
            read_deadline = min(deadline, self.last_progress_at + limit)
            try:
                return stream.read_chunk(read_deadline)
            except RunkeelError as error:
                timed_out = error.code is ErrorCode.DEADLINE_EXCEEDED
                if not timed_out or steady_seconds() >= deadline or not self.loading():
                    raise
                if steady_seconds() >= self.last_progress_at + LOADING_STALL_TIMEOUT_SECONDS:
                    raise

    def _append_event(self, block: bytes, version: int) -> int:
        """Append one event; returns the current weight version, -1 if it is not allowed."""
        event = self._protocol.parse_event(block)
        version = event.version or version
        if not event.has_data:
            return version
        if not is_next_event(self._partial.last_event_id, event.event_id):
            last = self._partial.last_event_id
            raise may_have_run(
                ErrorCode.BACKEND_LOST, f"event out of order: {event.event_id} after {last}"
            )
        versions = self._partial.versions
        if version and version < self._min_version:
            return -1
        if version and version not in versions:
            if versions and self._single_version:
                return -1
            versions.append(version)
        self._check_output_size(event.data)
        self._partial.pieces.append(event.data)
        if event.event_id:
            self._partial.last_event_id = event.event_id
        now = steady_seconds()
        self.events += 1
        self.first_event_at = self.first_event_at or now
        self.last_progress_at = now
        return version

    def _check_output_size(self, piece: str) -> None:
        """Count a piece; discards the output and raises BACKEND_LOST if it is too large."""
        if not self._output_bytes:
            self._output_bytes = sum(content_bytes(known) for known in self._partial.pieces)
        self._output_bytes += content_bytes(piece)
        if self._output_bytes > MAX_OUTPUT_BYTES:
            self._partial.clear()
            raise may_have_run(
                ErrorCode.BACKEND_LOST, f"output of more than {MAX_OUTPUT_BYTES} bytes"
            )


def _outcome_without_response(error: RunkeelError) -> RunOutcome:
    if error.verdict is not Verdict.NOT_RUN:
        return RunOutcome.BROKEN
    unreachable = error.code is ErrorCode.BACKEND_UNREACHABLE
    return RunOutcome.UNREACHABLE if unreachable else RunOutcome.REFUSED
