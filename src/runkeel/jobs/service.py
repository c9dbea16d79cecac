"""Serves batch jobs at every node: accepts, reads and ends them.

Reads go to the coordinator first and fall back to the store.
"""

from __future__ import annotations

import time
from collections import OrderedDict
from dataclasses import dataclass, field, replace

import gevent
from loguru import logger

from runkeel.api.documents import (
    DocumentConflictError,
    DocumentKind,
    DocumentRejectedError,
    DocumentStore,
)
from runkeel.api.jobs import BatchJob, ItemResult, JobReference, ResultPage, ResultState
from runkeel.clock import steady_seconds
from runkeel.coordination.election import Election
from runkeel.errors import ErrorCode, RunkeelError, Verdict, not_run
from runkeel.handoff.hint_client import HintClient, HintLookupResult, HintOutcome
from runkeel.jobs.coordinator import JobCoordinator
from runkeel.jobs.job_documents import decode_segment, may_belong_to_tenant, segment_name
from runkeel.jobs.job_state import JobState, make_page
from runkeel.jobs.job_store import JobStore, JobSubmission
from runkeel.jobs.result_cache import ResultCache
from runkeel.metrics import JOBS
from runkeel.state.immutable_documents import get_immutable
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.jobs.ttypes import (
    JobAccepted,
    JobAcceptedReply,
    JobEnded,
    JobEndedReply,
    JobItemRead,
    JobItemReadReply,
    JobLookup,
    JobRead,
    JobReadReply,
    JobResult,
)
from runkeel.wire.network import PeerNetwork

PEER_TIMEOUT_SECONDS = 0.6
"""Longest wait for the coordinator's reply, on top of the wait that the caller requested."""

STORE_TIMEOUT_SECONDS = 0.5
"""Longest wait for the store to take a job before storage nodes are asked to keep it as a hint.

Exceeds the response time of a slow store.
"""

STORE_RETRY_DELAY_SECONDS = 0.1
"""Pause before a write to the store is retried."""

RETRY_AFTER_SECONDS = 0.3
"""Retry-after value for requests that fail because of the store."""

MAX_PAGE_BYTES = 900_000
"""Bound on the size of the results in one page; below the 1 MB limit on documents."""

MAX_CACHED_BYTES = 24 * 1024 * 1024
"""Bound on the cache of stored jobs and their results; the least recently read are evicted."""

_ITEM_BYTES = 1_000
"""Approximate size of an item and its result, apart from their texts."""


@dataclass(slots=True)
class _CachedJob:
    """A job as read from the store; its results never change."""

    job: BatchJob
    results: list[ItemResult] = field(default_factory=list)
    segments: int = 0

    @property
    def size(self) -> int:
        """Approximate size in memory, in bytes."""
        bodies = sum(len(item.body) + _ITEM_BYTES for item in self.job.items)
        return bodies + sum(len(result.text) for result in self.results)


@dataclass(frozen=True, slots=True)
class _CoordinatorPage:
    """A coordinator's page; ``verified`` if the store has just confirmed the coordinator."""

    page: ResultPage
    verified: bool


class JobService:
    """Accepts, reads and ends batch jobs at this node."""

    def __init__(
        self,
        store: DocumentStore,
        network: PeerNetwork,
        election: Election,
        shard: str,
        hints: HintClient | None = None,
    ) -> None:
        self._hints = hints
        self._store = store
        self._job_store = JobStore(store)
        self._network = network
        self._election = election
        self._shard = shard
        self._job_cache: OrderedDict[str, _CachedJob] = OrderedDict()
        self._result_cache = ResultCache()
        self.local: JobCoordinator | None = None
        """The job coordinator, while this node coordinates."""
        network.on_call(MessageType.JOB_READ, JobRead, self._serve_read)
        network.on_call(MessageType.JOB_ACCEPTED, JobAccepted, self._serve_accepted)
        network.on_call(MessageType.JOB_ENDED, JobEnded, self._serve_end)
        network.on_call(MessageType.JOB_ITEM_READ, JobItemRead, self._serve_item)

    def accept(self, job: BatchJob, deadline: float) -> None:
        """Store a job durably.

        Raises:
            RunkeelError: the job was not accepted (verdict NOT_RUN), or may have been.
                BODY_TOO_LARGE or BAD_REQUEST (NOT_RUN) if it can never be stored.
        """
        submission = JobSubmission.of_job(self._store, job)
        verdict = Verdict.NOT_RUN
        while True:
            try:
                submission.write(STORE_TIMEOUT_SECONDS, deadline)
            except DocumentConflictError as conflict:
                if not may_belong_to_tenant(conflict.current, job.tenant):
                    submission.discard_parts()
                    raise not_run(ErrorCode.CONFLICT, "job id already in use") from conflict
                logger.info("job already stored", code="job_repeated", job=job.job_id)
                if not submission.owns(conflict.current):
                    submission.discard_parts()
                return
            except DocumentRejectedError as rejection:
                submission.discard_parts()
                _log_refused(job, rejection, Verdict.NOT_RUN)
                raise
            except RunkeelError as error:
                if error.verdict is not Verdict.NOT_RUN:
                    verdict = Verdict.MAY_HAVE_RUN
                hint_outcome = self._send_hints(job, submission)
                if hint_outcome is HintOutcome.ACCEPTED:
                    return
                if hint_outcome is HintOutcome.UNSURE:
                    verdict = Verdict.MAY_HAVE_RUN
                if verdict is Verdict.NOT_RUN:
                    submission.discard_parts()
                if verdict is Verdict.NOT_RUN or steady_seconds() > deadline:
                    self._fail_submission(job, error, verdict)
                gevent.sleep(STORE_RETRY_DELAY_SECONDS)
            else:
                _log_accepted(job, by="store")
                gevent.spawn(self._notify_accepted, job.job_id)
                return

    def _send_hints(self, job: BatchJob, submission: JobSubmission) -> HintOutcome:
        """Have storage nodes keep a job that could not be stored, until it can be."""
        if self._hints is None:
            return HintOutcome.REFUSED
        outcome = self._hints.send_hints(job.job_id, submission.encoded)
        if outcome is HintOutcome.ACCEPTED:
            _log_accepted(job, by="storage machines")
        return outcome

    def read(self, job: JobReference, position: int, wait_seconds: float) -> ResultPage | None:
        """Return results from a position on; None if it is certain that there is no such job.

        Raises:
            RunkeelError: neither the coordinator nor the store could answer.
        """
        if self.local is None and self._result_cache.is_complete(job):
            return self._page_from_cache(job, position)
        answer = self._read_from_coordinator(job, position, wait_seconds)
        if answer is not None and answer.verified:
            return answer.page
        try:
            return self._read_from_store(job, position)
        except RunkeelError:
            # Listed results never change, so known ones may be returned. An empty page may not:
            # in a network partition, another coordinator may have listed more.
            page = answer.page if answer is not None else self._page_from_cache(job, position)
            if not page.results:
                raise
            return page

    def item_body(self, job: JobReference, item_id: str) -> str | None:
        """Return an item's base64 body; None if it is certain that there is no such item."""
        body = self._item_from_coordinator(job, item_id)
        if body is not None:
            return body
        cached = self._get_cached(job)
        if cached is None:
            return None
        return next((item.body for item in cached.job.items if item.item_id == item_id), None)

    def end(self, job: JobReference, deadline: float) -> bool:
        """End a job permanently; False if it is certain that there is no such job."""
        job_id = job.job_id
        ended = self._is_ended_at_coordinator(job)
        if ended:
            return True
        if ended is None and self._get_cached(job) is None:
            return False
        while True:
            try:
                self._store.create(DocumentKind.JOB_END, job_id, {"ended_at": time.time()})
            except DocumentConflictError:
                break
            except RunkeelError as error:
                if steady_seconds() > deadline:
                    raise RunkeelError(
                        error.code, error.detail, Verdict.MAY_HAVE_RUN, RETRY_AFTER_SECONDS
                    ) from error
                gevent.sleep(STORE_RETRY_DELAY_SECONDS)
            else:
                break
        logger.info("job end stored", code="job_end", job=job_id)
        self._notify_end(job_id)
        return True

    def _fail_submission(self, job: BatchJob, error: RunkeelError, verdict: Verdict) -> None:
        _log_refused(job, error, verdict)
        raise RunkeelError(error.code, error.detail, verdict, RETRY_AFTER_SECONDS) from error

    def _local_state(self, job: JobReference) -> JobState | None:
        """Return a tenant's job from the coordinator of this node."""
        state = self.local.job(job.job_id) if self.local is not None else None
        return state if state is not None and state.job.tenant == job.tenant else None

    def _is_ended_at_coordinator(self, job: JobReference) -> bool | None:
        """Return whether a job has ended; None if no coordinator that knows the job replied."""
        if self.local is not None:
            state = self._local_state(job)
            return None if state is None else state.ended
        message = JobItemRead(self._shard, job.job_id, "", job.tenant)
        reply = self._call_coordinator(
            MessageType.JOB_ITEM_READ, message, JobItemReadReply, PEER_TIMEOUT_SECONDS
        )
        if reply is None or reply.lookup != JobLookup.FOUND:
            return None
        return reply.ended

    def _notify_accepted(self, job_id: str) -> None:
        if self.local is not None:
            self.local.on_accepted(job_id)
            return
        message = JobAccepted(self._shard, job_id)
        self._call_coordinator(
            MessageType.JOB_ACCEPTED, message, JobAcceptedReply, PEER_TIMEOUT_SECONDS
        )

    def _notify_end(self, job_id: str) -> None:
        if self.local is not None:
            self.local.end(job_id)
            return
        message = JobEnded(self._shard, job_id)
        self._call_coordinator(MessageType.JOB_ENDED, message, JobEndedReply, PEER_TIMEOUT_SECONDS)

    def _call_coordinator(self, message_type: int, message, reply_class, timeout: float):
        """Call another node that coordinates; None if there is none or it did not reply."""
        coordinator = self._election.coordinator
        if coordinator is None or coordinator.node_id == self._election.node_id:
            return None
        try:
            return self._network.call(
                coordinator.node_id, message_type, message, reply_class, timeout
            )
        except RunkeelError as error:
            logger.info(
                "call to coordinator failed",
                code="coordinator_unreached",
                coordinator=coordinator.node_id,
                epoch=coordinator.epoch,
                error=str(error.code),
            )
            return None

    def _read_from_coordinator(
        self, job: JobReference, position: int, wait_seconds: float
    ) -> _CoordinatorPage | None:
        if self.local is not None:
            state = self._local_state(job)
            if state is None:
                return None
            return self._page_from_local(self.local, state, position, wait_seconds)
        # Request only results that this node has not cached.
        known = self._result_cache.from_position(job, position)
        wait = 0.0 if known else wait_seconds
        first = position + len(known)
        wait_ms = int(wait * 1000)
        message = JobRead(self._shard, job.job_id, first, wait_ms, MAX_PAGE_BYTES, job.tenant)
        epoch = self._known_epoch()
        reply = self._call_coordinator(
            MessageType.JOB_READ, message, JobReadReply, wait + PEER_TIMEOUT_SECONDS
        )
        if reply is None or reply.lookup != JobLookup.FOUND:
            return None
        new = [_from_wire(result) for result in reply.results]
        self._result_cache.add(job, reply.total, first, new)
        # The cache may have evicted the known results during the call.
        page = make_page([*known, *new], reply.total, 0, MAX_PAGE_BYTES)
        # A coordinator that was replaced during the call may still count as verified.
        verified = reply.verified and self._known_epoch() == epoch
        return _CoordinatorPage(replace(page, position=position), verified)

    def _known_epoch(self) -> int:
        coordinator = self._election.coordinator
        return 0 if coordinator is None else coordinator.epoch

    def _page_from_local(
        self,
        local: JobCoordinator,
        state: JobState,
        position: int,
        wait_seconds: float,
        max_bytes: int = MAX_PAGE_BYTES,
    ) -> _CoordinatorPage | None:
        """Return a page of this node's coordinator; None if the job was unloaded during the wait.

        It is not verified if the term has ended during the wait, even if another one has begun, or
        if the reader expects more results than are listed, as a later coordinator may have them.
        """
        page = local.page(state, position, wait_seconds, max_bytes)
        if state.unloaded:
            return None
        current = self.local is local and self._election.verified
        listed = state.listing_known and not state.is_beyond_listing(position)
        return _CoordinatorPage(page, current and listed)

    def _page_from_cache(self, job: JobReference, position: int) -> ResultPage:
        """Return the cached results from a position on."""
        results = self._result_cache.from_position(job, position)
        page = make_page(results, self._result_cache.total(job), 0, MAX_PAGE_BYTES)
        return replace(page, position=position)

    def _item_from_coordinator(self, job: JobReference, item_id: str) -> str | None:
        if self.local is not None:
            state = self._local_state(job)
            item = state.items.get(item_id) if state else None
            return item.body if item else None
        message = JobItemRead(self._shard, job.job_id, item_id, job.tenant)
        reply = self._call_coordinator(
            MessageType.JOB_ITEM_READ, message, JobItemReadReply, PEER_TIMEOUT_SECONDS
        )
        if reply is None or reply.lookup != JobLookup.FOUND:
            return None
        return reply.body if reply.known_item else None

    def _read_from_store(self, job: JobReference, position: int) -> ResultPage | None:
        cached = self._get_cached(job)
        if cached is None:
            return None
        while len(cached.results) < len(cached.job.items):
            number = cached.segments
            name = segment_name(job.job_id, number)
            document = get_immutable(self._store, DocumentKind.JOB_RESULTS, name)
            if document is None:
                break
            if cached.segments == number:
                # Otherwise another task has added this segment in the meantime.
                cached.results.extend(decode_segment(document.content)[1])
                cached.segments += 1
        return make_page(cached.results, len(cached.job.items), position, MAX_PAGE_BYTES)

    def _get_cached(self, job: JobReference) -> _CachedJob | None:
        """Return a tenant's job as read from the store; None if there is certainly no such job.

        Raises:
            RunkeelError: the store did not answer, or the job is accepted but not stored yet.
        """
        cached = self._read_job(job.job_id)
        if cached is None:
            cached = self._confirm_absent(job.job_id)
        return cached if cached is not None and cached.job.tenant == job.tenant else None

    def _confirm_absent(self, job_id: str) -> _CachedJob | None:
        """Return None if no node can have accepted a job, else the job.

        An accepted job is in the store, or kept as a hint by storage nodes that move it there. The
        store is therefore read again after these nodes have answered that they have no hint.

        Raises:
            RunkeelError: the job is not stored yet, or too few storage nodes answered.
        """
        if self._hints is None:
            return None
        lookup_result = self._hints.look_up(job_id)
        if lookup_result is HintLookupResult.RULED_OUT:
            return self._read_job(job_id)
        detail = "job is accepted but not stored yet"
        if lookup_result is HintLookupResult.UNSURE:
            detail = (
                "job not found, but too few storage nodes replied to rule out that one keeps it"
            )
        raise not_run(ErrorCode.STORE_UNAVAILABLE, detail, RETRY_AFTER_SECONDS)

    def _read_job(self, job_id: str) -> _CachedJob | None:
        cached = self._job_cache.get(job_id)
        if cached is not None:
            self._job_cache.move_to_end(job_id)
            return cached
        job = self._job_store.get(job_id)
        if job is None:
            return None
        cached = self._job_cache[job_id] = _CachedJob(job)
        total = sum(one.size for one in self._job_cache.values())
        while total > MAX_CACHED_BYTES and len(self._job_cache) > 1:
            total -= self._job_cache.popitem(last=False)[1].size
        return cached

    def _serve_read(self, peer: str, message: JobRead) -> tuple[int, JobReadReply]:
        local = self.local
        if local is None:
            reply = JobReadReply(JobLookup.NOT_COORDINATOR, 0, 0, [], False)
            return MessageType.JOB_READ_REPLY, reply
        state = self._local_state(JobReference(message.job_id, message.tenant or ""))
        wait_seconds = message.wait_ms / 1000.0
        answer = None
        if state is not None:
            answer = self._page_from_local(
                local, state, message.position, wait_seconds, message.maximum_bytes
            )
        if answer is None:
            return MessageType.JOB_READ_REPLY, JobReadReply(JobLookup.UNKNOWN, 0, 0, [], False)
        page = answer.page
        results = [_to_wire(result) for result in page.results]
        reply = JobReadReply(JobLookup.FOUND, page.total, page.position, results, answer.verified)
        return MessageType.JOB_READ_REPLY, reply

    def _serve_accepted(self, peer: str, message: JobAccepted) -> tuple[int, JobAcceptedReply]:
        if self.local is None:
            return MessageType.JOB_ACCEPTED_REPLY, JobAcceptedReply(JobLookup.NOT_COORDINATOR)
        self.local.on_accepted(message.job_id)
        return MessageType.JOB_ACCEPTED_REPLY, JobAcceptedReply(JobLookup.FOUND)

    def _serve_end(self, peer: str, message: JobEnded) -> tuple[int, JobEndedReply]:
        if self.local is None:
            return MessageType.JOB_ENDED_REPLY, JobEndedReply(JobLookup.NOT_COORDINATOR)
        self.local.end(message.job_id)
        return MessageType.JOB_ENDED_REPLY, JobEndedReply(JobLookup.FOUND)

    def _serve_item(self, peer: str, message: JobItemRead) -> tuple[int, JobItemReadReply]:
        local = self.local
        if local is None:
            reply = JobItemReadReply(JobLookup.NOT_COORDINATOR, False, "", False)
            return MessageType.JOB_ITEM_READ_REPLY, reply
        state = self._local_state(JobReference(message.job_id, message.tenant or ""))
        if state is None:
            reply = JobItemReadReply(JobLookup.UNKNOWN, False, "", False)
            return MessageType.JOB_ITEM_READ_REPLY, reply
        item = state.items.get(message.item_id)
        body = item.body if item is not None else ""
        reply = JobItemReadReply(JobLookup.FOUND, item is not None, body, state.ended)
        return MessageType.JOB_ITEM_READ_REPLY, reply


def _to_wire(result: ItemResult) -> JobResult:
    return JobResult(
        result.item_id, result.state.value, result.text, list(result.versions), result.score
    )


def _from_wire(result: JobResult) -> ItemResult:
    return ItemResult(
        result.item_id,
        ResultState(result.state),
        result.text,
        tuple(result.versions),
        result.score,
    )


def _log_refused(job: BatchJob, error: RunkeelError, verdict: Verdict) -> None:
    logger.warning(
        "job submission failed",
        code="job_refused",
        job=job.job_id,
        verdict=verdict.name,
        error=error.detail,
    )


def _log_accepted(job: BatchJob, by: str) -> None:
    JOBS.labels("accepted").inc()
    logger.info(
        "job accepted",
        code="job_accepted",
        job=job.job_id,
        items=len(job.items),
        model=job.model,
        minimum_version=job.min_version,
        step=job.step,
        tenant=job.tenant,
        by=by,
    )
