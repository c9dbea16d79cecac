"""Second copies of samples on nodes of other zones."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping, Sequence

import gevent
from gevent.pool import Group

from runkeel.api.interfaces import Membership, PeerClient, PeerHandlers
from runkeel.errors import ErrorCode, RunkeelError
from runkeel.rollouts import metrics
from runkeel.rollouts.checkpoints import CheckpointStore
from runkeel.rollouts.options import MEBIBYTE, RolloutOptions
from runkeel.rollouts.ranking import StepRanking
from runkeel.rollouts.sample import Sample, StepKey, sample_from_wire, sample_to_wire
from runkeel.rollouts.sample_store import SampleStore
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.rollouts import ttypes

_PAGE_BYTES = MEBIBYTE
_MAXIMUM_PAGES = 256
_MAXIMUM_CANDIDATES = 4
_CHECKPOINT_CANDIDATES = 2


class SampleReplicator:
    """Stores, fetches and releases copies on other nodes, and serves others' copies."""

    def __init__(
        self,
        membership: Membership,
        peers: PeerClient,
        ranking: StepRanking,
        store: SampleStore,
        checkpoints: CheckpointStore,
        options: RolloutOptions,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._membership = membership
        self._peers = peers
        self._ranking = ranking
        self._store = store
        self._checkpoints = checkpoints
        self._options = options
        self._clock = clock
        self._tasks = Group()
        self.on_sample: Callable[[Sample], None] | None = None

    @property
    def node_id(self) -> str:
        """This node's id, as it stands among the holders of a sample."""
        return self._membership.node_id

    def register(self, handlers: PeerHandlers) -> None:
        """Serve other nodes' copies."""
        handlers.on_call(MessageType.SAMPLE_STORE, ttypes.SampleStore, self._on_store)
        handlers.on_call(MessageType.SAMPLE_FETCH, ttypes.SampleFetch, self._on_fetch)
        handlers.on_call(MessageType.SAMPLE_RELEASE, ttypes.SampleRelease, self._on_release)

    def replicate(self, sample: Sample) -> tuple[str, ...]:
        """Hold a sample here and on a second node; return both nodes' ids.

        A cluster of one node has no second copy.

        Raises:
            RunkeelError: STORAGE_FULL here, or the last failure of the candidates.
        """
        self._store.put(sample)
        candidates = self._ranking.replica_candidates(sample.step)[:_MAXIMUM_CANDIDATES]
        if not candidates:
            return (self._membership.node_id,)
        failure = RunkeelError(ErrorCode.STORAGE_FULL, "no node took the second copy")
        for member in candidates:
            try:
                self._store_at(member.node_id, sample)
            except RunkeelError as error:
                metrics.REPLICATION_FAILURES.labels(error.code).inc()
                failure = error
            else:
                return (self._membership.node_id, member.node_id)
        self._store.release(sample.step, [sample.digest])
        raise failure

    def send(self, node_id: str, sample: Sample) -> None:
        """Give a sample to the node that now owns its step. Raises RunkeelError."""
        self._store_at(node_id, sample)

    def fetch(self, step: StepKey, holders: Mapping[bytes, Sequence[str]]) -> dict[bytes, Sample]:
        """Return the samples that can be had, by digest.

        Args:
            step: their step.
            holders: for each digest the nodes that had a copy, in the order to ask them.
        """
        found: dict[bytes, Sample] = {}
        for digest in holders:
            sample = self._store.get(step, digest)
            if sample is not None:
                found[digest] = sample
        rounds = max((len(node_ids) for node_ids in holders.values()), default=0)
        for number in range(rounds):
            self._fetch_round(step, holders, number, found)
        return found

    def _fetch_round(
        self,
        step: StepKey,
        holders: Mapping[bytes, Sequence[str]],
        number: int,
        found: dict[bytes, Sample],
    ) -> None:
        """Ask each missing sample's holder of that number, all at the same time."""
        missing: dict[str, list[bytes]] = {}
        for digest, node_ids in holders.items():
            if digest in found or number >= len(node_ids):
                continue
            if node_ids[number] != self._membership.node_id:
                missing.setdefault(node_ids[number], []).append(digest)
        fetches = [
            self._tasks.spawn(self._fetch_from, node_id, step, digests)
            for node_id, digests in missing.items()
        ]
        gevent.joinall(fetches)
        for fetch in fetches:
            for sample in fetch.value or ():
                if sample.step == step and sample.digest in holders:
                    found[sample.digest] = self._keep(sample)

    def collect_step(self, step: StepKey) -> list[tuple[Sample, tuple[str, ...]]]:
        """Return the samples of a step that this and other nodes hold, each with its holders."""
        samples = {sample.digest: sample for sample in self._store.of_step(step)}
        holders = {digest: [self._membership.node_id] for digest in samples}
        members = self._ranking.copy_holders(step)
        fetches = [
            self._tasks.spawn(self._fetch_from, member.node_id, step, []) for member in members
        ]
        gevent.joinall(fetches)
        for member, fetch in zip(members, fetches, strict=True):
            for sample in fetch.value or ():
                if sample.step == step:
                    samples.setdefault(sample.digest, sample)
                    holders.setdefault(sample.digest, []).append(member.node_id)
        return [(sample, tuple(holders[digest])) for digest, sample in samples.items()]

    def send_checkpoints(self, step: StepKey, checkpoints: list[Sample]) -> None:
        """Hold unfinished samples on the node that gets the step's second copies.

        Raises:
            RunkeelError: neither of the two best candidates took them.
        """
        candidates = self._ranking.replica_candidates(step)[:_CHECKPOINT_CANDIDATES]
        now = self._clock()
        message = ttypes.SampleStore([], [sample_to_wire(sample, now) for sample in checkpoints])
        failure: RunkeelError | None = None
        for member in candidates:
            try:
                self._call_store(member.node_id, message)
            except RunkeelError as error:
                failure = error
            else:
                return
        if failure is not None:
            raise failure

    def collect_checkpoints(self, step: StepKey) -> dict[str, Sample]:
        """Return the longest checkpoint of each task that this and other nodes hold."""
        found = {sample.task_id: sample for sample in self._checkpoints.of_step(step)}
        fetches = [
            self._tasks.spawn(self._fetch_from, member.node_id, step, [], checkpoints=True)
            for member in self._ranking.copy_holders(step)
        ]
        gevent.joinall(fetches)
        for fetch in fetches:
            for sample in fetch.value or ():
                held = found.get(sample.task_id)
                if sample.step == step and (held is None or held.size < sample.size):
                    found[sample.task_id] = sample
        return found

    def release_later(self, step: StepKey, digests_by_holder: dict[str, list[bytes]]) -> None:
        """Drop copies like :meth:`release`, without waiting for it."""
        self._tasks.spawn(self.release, step, digests_by_holder)

    def stop(self) -> None:
        """Cancel calls that nobody waits for."""
        self._tasks.kill()

    def release(self, step: StepKey, digests_by_holder: dict[str, list[bytes]]) -> None:
        """Drop copies here and elsewhere; copies on unreachable nodes expire by age."""
        for node_id, digests in digests_by_holder.items():
            if node_id == self._membership.node_id:
                self._store.release(step, digests)
                continue
            message = ttypes.SampleRelease(step.model, step.step_id, digests)
            try:
                self._peers.call(
                    node_id,
                    MessageType.SAMPLE_RELEASE,
                    message,
                    ttypes.SampleReleaseReply,
                    self._options.peer_timeout_seconds,
                )
            except RunkeelError as error:
                metrics.REPLICATION_FAILURES.labels(error.code).inc()

    def _keep(self, sample: Sample) -> Sample:
        try:
            self._store.put(sample)
        except RunkeelError as error:
            metrics.REPLICATION_FAILURES.labels(error.code).inc()
        return sample

    def _store_at(self, node_id: str, sample: Sample) -> None:
        message = ttypes.SampleStore([sample_to_wire(sample, self._clock())], [])
        reply = self._call_store(node_id, message)
        if sample.digest not in (reply.digests or []):
            raise RunkeelError(ErrorCode.STORAGE_FULL, f"{node_id} did not take a sample")

    def _call_store(self, node_id: str, message: ttypes.SampleStore) -> ttypes.SampleStoreReply:
        return self._peers.call(
            node_id,
            MessageType.SAMPLE_STORE,
            message,
            ttypes.SampleStoreReply,
            self._options.peer_timeout_seconds,
        )

    def _fetch_from(
        self, node_id: str, step: StepKey, digests: list[bytes], checkpoints: bool = False
    ) -> list[Sample]:
        found: list[Sample] = []
        after = b""
        for _ in range(_MAXIMUM_PAGES):
            # The age in the answer was taken after this moment, so counting it from here
            # makes the sample look older by the round trip, never younger.
            asked_at = self._clock()
            try:
                reply = self._peers.call(
                    node_id,
                    MessageType.SAMPLE_FETCH,
                    ttypes.SampleFetch(step.model, step.step_id, digests, after, checkpoints),
                    ttypes.SampleFetchReply,
                    self._options.peer_timeout_seconds,
                )
                page = [sample_from_wire(record, asked_at) for record in reply.samples or []]
            except RunkeelError as error:
                metrics.REPLICATION_FAILURES.labels(error.code).inc()
                break
            found.extend(page)
            if not page or not reply.more:
                break
            after = page[-1].digest
        return found

    def _on_store(self, _peer: str, request: ttypes.SampleStore) -> tuple[int, object]:
        held = []
        for record in request.samples or []:
            sample = sample_from_wire(record, self._clock())
            is_new = self._store.put(sample)
            self._checkpoints.drop(sample.step, sample.task_id)
            held.append(sample.digest)
            # A sample that was here before was made here, or offered before: offering it again
            # would let two owners send it to and fro.
            if is_new and self.on_sample is not None:
                self.on_sample(sample)
        for record in request.checkpoints or []:
            self._checkpoints.put(sample_from_wire(record, self._clock()))
        return MessageType.SAMPLE_STORE_REPLY, ttypes.SampleStoreReply(held)

    def _on_fetch(self, _peer: str, request: ttypes.SampleFetch) -> tuple[int, object]:
        step = StepKey(request.model, request.step_id)
        wanted = set(request.digests or [])
        after = request.after or b""
        page: list[ttypes.SampleRecord] = []
        size = 0
        source = self._checkpoints if request.checkpoints else self._store
        for sample in source.of_step(step):
            if sample.digest <= after or (wanted and sample.digest not in wanted):
                continue
            if page and size + sample.size > _PAGE_BYTES:
                return MessageType.SAMPLE_FETCH_REPLY, ttypes.SampleFetchReply(page, True)
            page.append(sample_to_wire(sample, self._clock()))
            size += sample.size
        return MessageType.SAMPLE_FETCH_REPLY, ttypes.SampleFetchReply(page, False)

    def _on_release(self, _peer: str, request: ttypes.SampleRelease) -> tuple[int, object]:
        step = StepKey(request.model, request.step_id)
        if request.digests:
            released = self._store.release(step, request.digests)
        else:
            released = self._store.release_step(step)
        return MessageType.SAMPLE_RELEASE_REPLY, ttypes.SampleReleaseReply(released)
