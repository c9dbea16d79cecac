"""Load summaries of the pools: this node's own, and the latest heard of other nodes."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import lru_cache

from runkeel.api.machines import Member, PoolSummary
from runkeel.membership.table import short_number
from runkeel.wire.codec import encode
from runkeel.wire.generated.membership.ttypes import NodeLoad, PoolLoad

FRESH_SECONDS = 11.0
"""Age at which a summary of the own zone is dropped."""

FRESH_SECONDS_OTHER_ZONES = 15.0
"""Age at which a summary of another zone is dropped."""

OWNERS_PER_POOL = 2
"""Owners of a pool that a zone tells the other zones of: those with the shortest wait."""

OWN_LOADS_BYTES = 800
BRIDGED_BYTES = 700
MAXIMUM_POOLS = 1_024
RELAYED_PER_DATAGRAM = 2
RELAY_TRANSMISSIONS = 3
RESTART_SECONDS = 1.0
"""A load made this much later is newer whatever its sequence: its node has restarted."""

_MAXIMUM_INT32 = 2**31 - 1


@dataclass(slots=True)
class _Load:
    sequence: int
    made_at: float
    zone: str
    load: PoolLoad
    transmissions: int = 0


@lru_cache(maxsize=4096)
def pool_hash(pool: str) -> int:
    """Return the 32-bit number that stands for a pool's name in datagrams."""
    return short_number(pool)


class LoadTable:
    """Summaries by pool and node; the newest sequence wins."""

    def __init__(self, node_id: str, zone: str) -> None:
        self._node_id = node_id
        self._zone = zone
        self._own: tuple[PoolSummary, ...] = ()
        self._own_chunks: list[list[PoolLoad]] = []
        self._own_sequence = 0
        self._pools: dict[int, dict[str, _Load]] = {}

    def publish(self, summaries: Iterable[PoolSummary]) -> None:
        """Replace this node's own summaries."""
        self._own = tuple(summaries)[:MAXIMUM_POOLS]
        self._own_sequence = max((summary.sequence for summary in self._own), default=0)
        self._own_chunks = _split([_encode(summary) for summary in self._own])

    def own_loads(self) -> list[NodeLoad]:
        """Return this node's summaries, a datagram's worth in each item."""
        sequence = self._own_sequence
        return [NodeLoad(sequence=sequence, pools=loads) for loads in self._own_chunks]

    def merge(self, node_load: NodeLoad, member: Member, now: float) -> None:
        """Take a node's summaries where they are newer than what is known."""
        if member.node_id == self._node_id:
            return
        made_at = now - max(0, node_load.age_ms or 0) / 1000
        if now - made_at > self._freshness(member.zone):
            # Or it would go round for ever between nodes that have just dropped it.
            return
        for load in node_load.pools:
            nodes = self._pools.get(load.pool)
            if nodes is None:
                if len(self._pools) >= MAXIMUM_POOLS:
                    continue
                nodes = self._pools[load.pool] = {}
            known = nodes.get(member.node_id)
            if known is None or _is_newer(node_load.sequence, made_at, known):
                nodes[member.node_id] = _Load(node_load.sequence, made_at, member.zone, load)

    def summaries(
        self, pool: str, is_live: Callable[[str], bool], now: float
    ) -> tuple[PoolSummary, ...]:
        """Return a pool's fresh summaries of live nodes, this node's own first."""
        found = [summary for summary in self._own if summary.pool == pool]
        for node_id, entry in self._pools.get(pool_hash(pool), {}).items():
            if self._is_fresh(entry, now) and is_live(node_id):
                found.append(_decode(node_id, pool, entry))
        return tuple(found)

    def drop_old(self, now: float) -> None:
        """Forget summaries that are too old to be used."""
        for pool, nodes in list(self._pools.items()):
            for node_id in [key for key, entry in nodes.items() if not self._is_fresh(entry, now)]:
                del nodes[node_id]
            if not nodes:
                del self._pools[pool]

    def best_of_zone(self, now: float) -> list[NodeLoad]:
        """Return, for other zones, each pool's owners with the shortest wait."""
        own = {load.pool: load for loads in self._own_chunks for load in loads}
        chosen = []
        for pool in {*own, *self._pools}:
            candidates = [
                (entry.load.projected_wait_ms or 0, node_id, entry)
                for node_id, entry in self._pools.get(pool, {}).items()
                if entry.zone == self._zone and self._is_fresh(entry, now)
            ]
            if pool in own:
                entry = _Load(self._own_sequence, now, self._zone, own[pool])
                candidates.append((own[pool].projected_wait_ms or 0, self._node_id, entry))
            candidates.sort(key=lambda item: item[:2])
            chosen.extend(candidates[:OWNERS_PER_POOL])
        # The least loaded first, should they not all fit.
        chosen.sort(key=lambda item: item[:2])
        return _fitting([(node_id, entry) for _, node_id, entry in chosen], now)

    def relayed(self, now: float) -> list[NodeLoad]:
        """Return summaries of other zones that this zone has not been told of often enough."""
        waiting = [
            (entry.transmissions, node_id, entry)
            for nodes in self._pools.values()
            for node_id, entry in nodes.items()
            if entry.zone != self._zone
            and entry.transmissions < RELAY_TRANSMISSIONS
            and self._is_fresh(entry, now)
        ]
        waiting.sort(key=lambda item: item[0])
        chosen = [(node_id, entry) for _, node_id, entry in waiting[:RELAYED_PER_DATAGRAM]]
        for _, entry in chosen:
            entry.transmissions += 1
        return [_relay(node_id, entry, now) for node_id, entry in chosen]

    def _is_fresh(self, entry: _Load, now: float) -> bool:
        return now - entry.made_at <= self._freshness(entry.zone)

    def _freshness(self, zone: str) -> float:
        return FRESH_SECONDS if zone == self._zone else FRESH_SECONDS_OTHER_ZONES


def _split(loads: list[PoolLoad]) -> list[list[PoolLoad]]:
    chunks: list[list[PoolLoad]] = []
    room = 0
    for load in loads:
        size = len(encode(load))
        if size > room:
            chunks.append([])
            room = OWN_LOADS_BYTES
        chunks[-1].append(load)
        room -= size
    return chunks


def _is_newer(sequence: int, made_at: float, known: _Load) -> bool:
    if abs(made_at - known.made_at) > RESTART_SECONDS:
        return made_at > known.made_at
    return sequence > known.sequence


def _fitting(entries: list[tuple[str, _Load]], now: float) -> list[NodeLoad]:
    fitting = []
    room = BRIDGED_BYTES
    for node_id, entry in entries:
        node_load = _relay(node_id, entry, now)
        room -= len(encode(node_load))
        if room < 0:
            break
        fitting.append(node_load)
    return fitting


def _relay(node_id: str, entry: _Load, now: float) -> NodeLoad:
    age_ms = min(int((now - entry.made_at) * 1000), _MAXIMUM_INT32)
    return NodeLoad(short_number(node_id), entry.sequence, age_ms, [entry.load])


def _encode(summary: PoolSummary) -> PoolLoad:
    load = PoolLoad(
        pool_hash(summary.pool),
        summary.backends,
        summary.slots,
        summary.in_flight,
        summary.queued or None,
        min(summary.projected_wait_ms, _MAXIMUM_INT32) or None,
    )
    if summary.maximum_version:
        load.minimum_version = summary.minimum_version
        load.version_spread = summary.maximum_version - summary.minimum_version or None
    return load


def _decode(node_id: str, pool: str, entry: _Load) -> PoolSummary:
    load = entry.load
    minimum = load.minimum_version or 0
    return PoolSummary(
        node_id,
        pool,
        entry.sequence,
        load.backends,
        load.slots,
        load.in_flight,
        load.queued or 0,
        load.projected_wait_ms or 0,
        minimum,
        minimum + (load.version_spread or 0),
    )
