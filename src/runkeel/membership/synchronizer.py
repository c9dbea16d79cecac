"""Joining, and repair of member tables that differ."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Protocol

from runkeel.api.machines import Address, Member, MemberStatus
from runkeel.membership.datagrams import record_of, split_records
from runkeel.membership.limits import TokenBucket
from runkeel.membership.table import MemberTable
from runkeel.wire.generated.membership.ttypes import Datagram, DatagramKind, ZoneHash

JOIN_SECONDS = 1.0
"""Interval of attempts while no other node is known."""

SEED_CHECK_SECONDS = 10.0
"""Interval at which a seed that is not a live member is asked, to heal a split."""

SYNC_SECONDS = 2.0
"""Shortest time between two requests of this node to repair its table."""

DIFFERENCES_BEFORE_SYNC = 3
"""News spreads by itself: views must differ this often in a row before a repair."""

MAXIMUM_SEEDS = 32
MAXIMUM_ZONES = 32
MAXIMUM_ZONE_DIFFERENCES = 256


class Sender(Protocol):
    """What the parts of membership use to send."""

    node_id: str
    zone: str

    def local(self) -> Member:
        """Return this node."""

    def is_live(self, node_id: str) -> bool:
        """Return whether a node is live and reachable."""

    def send(self, kind: int, targets: Iterable[Member], **fields: object) -> int:
        """Send a datagram to members; return its bytes."""

    def send_to(
        self, kind: int, targets: list[tuple[Address, str | None]], **fields: object
    ) -> int:
        """Send a datagram to addresses with their zones; return its bytes."""

    def state_digest(self) -> int | None:
        """Return the digest of this node's replicated state."""


class Synchronizer:
    """Asks seeds and peers for what this node's table lacks, and answers such requests."""

    def __init__(
        self,
        sender: Sender,
        table: MemberTable,
        seeds: tuple[Address, ...],
        on_joined: Callable[[], None],
    ) -> None:
        self._sender = sender
        self._on_joined = on_joined
        self._table = table
        self._seeds = seeds[:MAXIMUM_SEEDS]
        self._join_at = 0.0
        self._joined = False
        self._differences = 0
        self._zone_differences: dict[tuple[str, str], int] = {}
        self._requests = TokenBucket(rate=1 / SYNC_SECONDS, burst=4.0)
        self._introductions = TokenBucket(rate=10.0, burst=20.0)
        self._accusations = TokenBucket(rate=20.0, burst=40.0)
        self._answers = TokenBucket(rate=100.0, burst=200.0)

    @property
    def joined(self) -> bool:
        """Whether this node has heard of others."""
        return self._joined

    def tick(self, now: float) -> None:
        """Join, and look for a part of the cluster that was lost."""
        alone = len(self._table.all()) <= 1
        if not alone and not self._joined:
            self._joined = True
            self._on_joined()
        if now < self._join_at:
            return
        wait = JOIN_SECONDS if alone else SEED_CHECK_SECONDS
        self._join_at = now + wait * random.uniform(0.8, 1.2)
        seeds = self._lost_seeds()
        if not alone and seeds:
            seeds = [random.choice(seeds)]
        self._join(seeds)

    def on_request(self, datagram: Datagram, source: Address, zone: str | None, now: float) -> None:
        """Answer JOIN with everything, SYNC_REQUEST with the zones that differ."""
        if datagram.kind == DatagramKind.SYNC_REQUEST and not datagram.zone_hashes:
            own = [record_of(self._sender.local())]
            self._sender.send_to(DatagramKind.NEWS, [(source, zone)], records=own)
            return
        theirs = {each.zone: each.hash for each in (datagram.zone_hashes or ())[:MAXIMUM_ZONES]}
        everything = datagram.kind == DatagramKind.JOIN
        zones = [
            zone for zone in self._table.known_zones() if everything or self._differs(zone, theirs)
        ]
        # What a joining node needs first are its zone mates: from them it gets what is lost here.
        zones.sort(key=lambda each: each != datagram.zone and each != zone)
        for each in zones:
            self._send_zone(source, zone, each, now)

    def ask_introduction(self, source: Address, zone: str | None, now: float) -> None:
        """Ask the unknown sender of a datagram who it is."""
        if self._introductions.take(now):
            self._sender.send_to(DatagramKind.SYNC_REQUEST, [(source, zone)])

    def accuse(self, dead: Member, source: Address, zone: str | None, now: float) -> None:
        """Tell a node that is thought dead, so that it takes a new incarnation."""
        if dead.status is MemberStatus.DEAD and self._accusations.take(now):
            self._sender.send_to(DatagramKind.NEWS, [(source, zone)], records=[record_of(dead)])

    def on_view_hash(self, sender: Member, view_hash: int, now: float) -> None:
        """Compare a zone mate's view of the whole cluster with ours."""
        if sender.zone != self._sender.zone or view_hash == self._table.view_hash():
            self._differences = 0
            return
        self._differences += 1
        if self._differences >= DIFFERENCES_BEFORE_SYNC and self._requests.take(now):
            self._differences = 0
            self._request(sender, self._table.zones())

    def on_zone_hashes(self, sender: Member, hashes: Iterable[ZoneHash], now: float) -> None:
        """Compare a bridge's view of its own zone, and of another one, with ours."""
        for each in hashes:
            key = (sender.node_id, each.zone)
            if each.hash == self._table.zone_hash(each.zone):
                self._zone_differences.pop(key, None)
                continue
            count = self._zone_differences.get(key, 0) + 1
            if len(self._zone_differences) < MAXIMUM_ZONE_DIFFERENCES:
                self._zone_differences[key] = count
            self._repair_zone(sender, each.zone, count, now)

    def _repair_zone(self, sender: Member, zone: str, differences: int, now: float) -> None:
        """Ask a bridge for what it knows of a zone.

        Of its own zone it knows best, so it is asked at once. If the difference stays, it may
        know too little, like a node that was cut off when it joined, and is told in turn: its
        own zone may not know of it. Of another zone it is asked late, when that zone itself
        has not told us.
        """
        is_own = zone == sender.zone
        if not is_own and differences < DIFFERENCES_BEFORE_SYNC:
            return
        if not self._requests.take(now):
            return
        self._request(sender, [zone])
        if is_own and differences > 1:
            self._send_zone(sender.gossip, sender.zone, zone, now)
        if differences > 1:
            self._zone_differences.pop((sender.node_id, zone), None)

    def _send_zone(self, target: Address, target_zone: str | None, zone: str, now: float) -> None:
        members = [member for member in self._table.all() if member.zone == zone]
        records = [record_of(member, with_suspect_address=True) for member in members]
        for chunk in split_records(records):
            if self._answers.take(now):
                self._sender.send_to(DatagramKind.SYNC, [(target, target_zone)], records=chunk)

    def _request(self, target: Member, zones: list[str]) -> None:
        hashes = [ZoneHash(zone, self._table.zone_hash(zone)) for zone in zones[:MAXIMUM_ZONES]]
        self._sender.send(DatagramKind.SYNC_REQUEST, [target], zone_hashes=hashes)

    def _differs(self, zone: str, theirs: dict[str, int]) -> bool:
        return zone in theirs and theirs[zone] != self._table.zone_hash(zone)

    def _lost_seeds(self) -> list[Address]:
        live = {
            member.gossip for member in self._table.all() if self._sender.is_live(member.node_id)
        }
        return [seed for seed in self._seeds if seed not in live]

    def _join(self, seeds: list[Address]) -> None:
        zones = {member.gossip: member.zone for member in self._table.all()}
        targets = [(seed, zones.get(seed)) for seed in seeds]
        if targets:
            own = [record_of(self._sender.local())]
            self._sender.send_to(DatagramKind.JOIN, targets, records=own)
