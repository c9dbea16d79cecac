"""Catch-up by difference between two nodes (anti-entropy, Demers et al. 1987).

A requester sends its 64 bucket digests; the peer answers with the digests of the records in
buckets that differ, as many as fit a page. The requester then fetches the records it lacks
and gives those that the peer lacks, in pages, and compares again until nothing differs.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable, Sequence

from runkeel.api.interfaces import PeerClient, PeerHandlers
from runkeel.state.push_tree import PAGE_BYTES, pages, record_bytes
from runkeel.state.replicated_state import RecordSource, ReplicatedState
from runkeel.state.versioned_record import BUCKET_COUNT, VersionedRecord, record_from_wire
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.state.ttypes import RecordName, StateSync, StateSyncReply

CALL_TIMEOUT_SECONDS = 5.0
MAX_ROUNDS = 64
WANTED_PER_CALL = 512
HELD_PER_REPLY = 4_096
NAMES_PER_CALL = 256
_DIGEST_BYTES = 8

TakenListener = Callable[[str, Sequence[VersionedRecord]], None]


def pack_digests(digests: Iterable[int]) -> bytes:
    """Pack 63-bit digests as 8 bytes each, big-endian."""
    values = list(digests)
    return struct.pack(f">{len(values)}Q", *values)


def unpack_digests(data: bytes | None) -> tuple[int, ...]:
    """Unpack digests; bytes after the last whole one are ignored."""
    count = len(data or b"") // _DIGEST_BYTES
    return struct.unpack_from(f">{count}Q", data or b"")


class AntiEntropy:
    """Serves and runs exchanges of differing records.

    Args:
        on_taken: called with the peer's id and the records taken from it.
    """

    def __init__(
        self,
        state: ReplicatedState,
        peers: PeerClient,
        handlers: PeerHandlers,
        on_taken: TakenListener,
    ) -> None:
        self._state = state
        self._peers = peers
        self._on_taken = on_taken
        handlers.on_call(MessageType.STATE_SYNC, StateSync, self._serve)

    def synchronize(self, peer_node_id: str) -> None:
        """Exchange records with a peer until both hold the same or nothing moves any more.

        Raises:
            RunkeelError: the peer could not be reached or was lost.
        """
        for _ in range(MAX_ROUNDS):
            reply = self._compare(peer_node_id)
            if not reply.differing or not self._exchange_covered(peer_node_id, reply):
                return

    def look_up(
        self, peer_node_id: str, names: Sequence[tuple[str, str]], timeout_seconds: float
    ) -> None:
        """Take a peer's versions of some records, where they are newer.

        Raises:
            RunkeelError: the peer could not be reached or was lost.
        """
        wanted = [RecordName(kind=kind, name=name) for kind, name in names]
        self._call(peer_node_id, StateSync(records=[], names=wanted), timeout_seconds)

    def _compare(self, peer_node_id: str) -> StateSyncReply:
        digests = pack_digests(self._state.bucket_digests())
        request = StateSync(bucket_digests=digests, records=[], names=[])
        return self._call(peer_node_id, request)

    def _exchange_covered(self, peer_node_id: str, reply: StateSyncReply) -> bool:
        """Exchange the differing records of the buckets covered; return whether any moved."""
        theirs = set(unpack_digests(reply.held))
        mine = {
            record.digest: record
            for bucket in reply.covered or ()
            for record in self._state.bucket(bucket % BUCKET_COUNT)
        }
        wanted = [digest for digest in theirs if digest not in mine]
        offered = [record for digest, record in mine.items() if digest not in theirs]
        fetched = self._fetch(peer_node_id, wanted)
        return self._give(peer_node_id, offered) or fetched

    def _fetch(self, peer_node_id: str, wanted: list[int]) -> bool:
        moved = False
        while wanted:
            asked = wanted[:WANTED_PER_CALL]
            request = StateSync(wanted=pack_digests(asked), records=[], names=[])
            reply = self._call(peer_node_id, request)
            arrived = {record_from_wire(message).digest for message in reply.records or ()}
            moved = moved or bool(arrived)
            # An empty answer: the peer has replaced what was asked for since it was listed.
            done = arrived or set(asked)
            wanted = [digest for digest in wanted if digest not in done]
        return moved

    def _give(self, peer_node_id: str, offered: Sequence[VersionedRecord]) -> bool:
        current = [record for record in offered if self._state.get(*record.key) == record]
        for page in pages(current):
            self._call(peer_node_id, StateSync(records=page, names=[]))
        return bool(current)

    def _call(
        self,
        peer_node_id: str,
        request: StateSync,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> StateSyncReply:
        reply = self._peers.call(
            peer_node_id, MessageType.STATE_SYNC, request, StateSyncReply, timeout_seconds
        )
        self._take(peer_node_id, reply.records or ())
        return reply

    def _take(self, peer_node_id: str, messages: Iterable[object]) -> None:
        records = [record_from_wire(message) for message in messages]
        taken = self._state.apply(records, RecordSource.SYNC) if records else []
        if taken:
            self._on_taken(peer_node_id, taken)

    def _serve(self, peer_node_id: str, request: StateSync) -> tuple[int, StateSyncReply]:
        self._take(peer_node_id, request.records or ())
        reply = StateSyncReply(covered=[], differing=0, held=b"", records=[])
        if request.bucket_digests:
            self._list_differing(unpack_digests(request.bucket_digests), reply)
        reply.records = [record.to_wire() for record in self._wanted_records(request)]
        return MessageType.STATE_SYNC_REPLY, reply

    def _list_differing(self, theirs: Sequence[int], reply: StateSyncReply) -> None:
        mine = self._state.bucket_digests()
        pairs = zip(mine, theirs, strict=False)
        differing = [index for index, (held, other) in enumerate(pairs) if held != other]
        reply.differing = len(differing)
        held: list[int] = []
        for index in differing:
            digests = [record.digest for record in self._state.bucket(index)]
            if held and len(held) + len(digests) > HELD_PER_REPLY:
                break
            held.extend(digests)
            reply.covered.append(index)
        reply.held = pack_digests(held)

    def _wanted_records(self, request: StateSync) -> list[VersionedRecord]:
        """Return the records asked for, as many as fit a page but at least one."""
        found: list[VersionedRecord] = []
        size = 0
        for record in self._requested(request):
            size += record_bytes(record)
            if found and size > PAGE_BYTES:
                break
            found.append(record)
        return found

    def _requested(self, request: StateSync) -> Iterable[VersionedRecord]:
        for name in (request.names or ())[:NAMES_PER_CALL]:
            record = self._state.get(name.kind, name.name)
            if record is not None:
                yield record
        wanted = set(unpack_digests(request.wanted)[:WANTED_PER_CALL])
        if not wanted:
            return
        for index in range(BUCKET_COUNT):
            for record in self._state.bucket(index):
                if record.digest in wanted:
                    yield record
