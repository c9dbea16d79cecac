"""The member table: which record of a node wins, and what follows from the winners."""

from __future__ import annotations

import hashlib
from functools import lru_cache

from runkeel.api.machines import Address, Member, MemberStatus

MAXIMUM_MEMBERS = 4_096
TOMBSTONE_SECONDS = 600.0
"""How long a node that is gone is remembered, so that old news can't bring it back."""

BRIDGES_PER_ZONE = 2

LIVE_STATUSES = (MemberStatus.ALIVE, MemberStatus.SUSPECT)


@lru_cache(maxsize=MAXIMUM_MEMBERS)
def rank(node_id: str) -> bytes:
    """Return a node's place in the order that all nodes agree on without messages."""
    return hashlib.blake2b(node_id.encode(), digest_size=8).digest()


def short_number(name: str) -> int:
    """Return the signed 32-bit number that stands for a name where bytes are dear.

    A cryptographic hash, as names of one pattern collide often under a CRC.
    """
    digest = hashlib.blake2b(name.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big", signed=True)


class MemberTable:
    """Members by id, merged by the rules of SWIM (Das, Gupta, Motivala, 2002).

    A higher incarnation wins; of equal ones the graver status wins. ``version`` grows with every
    change. Whether a member's zone can be reached is not decided here.
    """

    def __init__(self) -> None:
        self.version = 0
        self._members: dict[str, Member] = {}
        self._changed_at: dict[str, float] = {}
        self._by_number: dict[int, list[str]] = {}
        self._by_zone: dict[str, tuple[Member, ...]] = {}
        self._rings: dict[str, tuple[Member, ...]] = {}
        self._hashes: dict[str, int] = {}
        self._view_hash: int | None = None
        self._cache_version = 0

    def get(self, node_id: str) -> Member | None:
        """Return a member, dead or alive."""
        return self._members.get(node_id)

    def merge(self, member: Member, now: float) -> bool:
        """Take a record if it wins; return whether it did."""
        known = self._members.get(member.node_id)
        if known is None:
            if member.status not in LIVE_STATUSES or len(self._members) >= MAXIMUM_MEMBERS:
                return False
            self._by_number.setdefault(short_number(member.node_id), []).append(member.node_id)
        elif (member.incarnation, member.status) <= (known.incarnation, known.status):
            return False
        self._members[member.node_id] = member
        self._changed_at[member.node_id] = now
        self.version += 1
        return True

    def forget_gone(self, now: float) -> None:
        """Drop nodes that have been gone for long."""
        for node_id, member in list(self._members.items()):
            old = now - self._changed_at[node_id] > TOMBSTONE_SECONDS
            if old and member.status not in LIVE_STATUSES:
                self._forget(node_id)

    def _forget(self, node_id: str) -> None:
        del self._members[node_id]
        del self._changed_at[node_id]
        number = short_number(node_id)
        self._by_number[number].remove(node_id)
        if not self._by_number[number]:
            del self._by_number[number]

    def by_number(self, number: int, source: Address | None = None) -> Member | None:
        """Return the member with a number.

        Args:
            source: tells apart members whose numbers are the same, by their datagram address.

        Returns:
            None when there is none, or more than one that can't be told apart.
        """
        members = [self._members[node_id] for node_id in self._by_number.get(number, ())]
        if len(members) > 1:
            members = [member for member in members if member.gossip == source]
        return members[0] if len(members) == 1 else None

    def all(self) -> list[Member]:
        """Return all members, gone ones included."""
        return list(self._members.values())

    def known_zones(self) -> list[str]:
        """Return the zones that have members, gone ones included, sorted."""
        return sorted({member.zone for member in self._members.values()})

    def zones(self) -> list[str]:
        """Return the zones that have live members, sorted."""
        self._refresh()
        return list(self._by_zone)

    def live_in(self, zone: str) -> tuple[Member, ...]:
        """Return a zone's live or suspect members, sorted by id."""
        self._refresh()
        return self._by_zone.get(zone, ())

    def ring(self, zone: str) -> tuple[Member, ...]:
        """Return a zone's live members in the order of their rank."""
        self._refresh()
        return self._rings.get(zone, ())

    def bridges(self, zone: str) -> tuple[Member, ...]:
        """Return the members that speak for a zone."""
        return self.ring(zone)[:BRIDGES_PER_ZONE]

    def zone_hash(self, zone: str) -> int:
        """Return a 32-bit hash over the ids and incarnations of a zone's live members."""
        self._refresh()
        return self._hashes.get(zone, 0)

    def view_hash(self) -> int:
        """Return a 32-bit hash over the live members of all zones."""
        self._refresh()
        if self._view_hash is None:
            text = ",".join(f"{zone}={value}" for zone, value in self._hashes.items())
            self._view_hash = short_number(text)
        return self._view_hash

    def _refresh(self) -> None:
        if self._cache_version == self.version:
            return
        zones: dict[str, list[Member]] = {}
        for member in sorted(self._members.values(), key=lambda member: member.node_id):
            if member.status in LIVE_STATUSES:
                zones.setdefault(member.zone, []).append(member)
        self._by_zone = {zone: tuple(zones[zone]) for zone in sorted(zones)}
        self._rings = {
            zone: tuple(sorted(members, key=lambda member: rank(member.node_id)))
            for zone, members in self._by_zone.items()
        }
        self._view_hash = None
        self._hashes = {zone: _hash_of(members) for zone, members in self._by_zone.items()}
        self._cache_version = self.version


def _hash_of(members: tuple[Member, ...]) -> int:
    return short_number(",".join(f"{member.node_id}:{member.incarnation}" for member in members))
