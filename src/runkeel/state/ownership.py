"""Which node owns which back end: rendezvous hashing over the live nodes of a zone.

Highest random weight (Thaler and Ravishankar 1998): a change of one node moves only the back
ends that it owned, or that it wins. Two nodes may for a while both believe that they own a
back end; engines decide between them by fence.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable, Sequence

from runkeel.api.configuration import ObjectKind
from runkeel.api.interfaces import Configuration, MachineView, Membership
from runkeel.api.machines import Machine, MachineKind
from runkeel.state.listeners import notify

BACKEND_KINDS = (MachineKind.ENGINE, MachineKind.APPLICATION)


def ownership_weight(node_id: str, backend_id: str) -> bytes:
    """Return the weight of a node for a back end; the highest owns it."""
    text = f"{node_id}\x00{backend_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


class _ZoneTable:
    """Owners of back ends among one set of candidate nodes, kept up to date incrementally."""

    def __init__(self) -> None:
        self._candidates: frozenset[str] = frozenset()
        self._owners: dict[str, tuple[bytes, str]] = {}

    @property
    def candidates(self) -> frozenset[str]:
        """The nodes among which the owners are chosen."""
        return self._candidates

    def set_candidates(self, candidates: frozenset[str]) -> None:
        """Move only the back ends whose owner has gone, or that a new candidate wins."""
        added = candidates - self._candidates
        removed = self._candidates - candidates
        self._candidates = candidates
        for backend_id, owner in tuple(self._owners.items()):
            if owner[1] in removed:
                del self._owners[backend_id]  # Computed again when next asked for.
            elif added:
                self._owners[backend_id] = max(owner, self._best(backend_id, added))

    def owner(self, backend_id: str) -> str | None:
        """Return the owner, or None without candidates."""
        if not self._candidates:
            return None
        if backend_id not in self._owners:
            self._owners[backend_id] = self._best(backend_id, self._candidates)
        return self._owners[backend_id][1]

    def forget_all_but(self, backend_ids: Iterable[str]) -> None:
        """Drop back ends that are gone."""
        kept = set(backend_ids)
        self._owners = {key: owner for key, owner in self._owners.items() if key in kept}

    def _best(self, backend_id: str, candidates: Iterable[str]) -> tuple[bytes, str]:
        return max((ownership_weight(node_id, backend_id), node_id) for node_id in candidates)


class RendezvousOwnership:
    """The :class:`runkeel.api.interfaces.Ownership` of one node."""

    def __init__(
        self, membership: Membership, machines: MachineView, configuration: Configuration
    ) -> None:
        self._membership = membership
        self._machines = machines
        self._configuration = configuration
        self._tables: dict[str, _ZoneTable] = {}
        self._owned: tuple[Machine, ...] = ()
        self._listeners: list[Callable[[], None]] = []
        self._refresh()
        membership.on_change(self._on_members)
        machines.on_change(self._refresh)
        configuration.on_change(self._on_configuration)

    def owner_of(self, backend_id: str) -> str | None:
        """Return the owner's node id, or None when no node can own it."""
        machine = self._machines.machine(backend_id)
        if machine is None or machine.kind not in BACKEND_KINDS:
            return None
        return self._table(machine.zone).owner(backend_id)

    def owned(self) -> tuple[Machine, ...]:
        """Return the back ends that this node owns, leaving ones included."""
        return self._owned

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call back after the set of owned back ends has changed."""
        self._listeners.append(callback)

    def _on_members(self) -> None:
        # Most changes are new incarnations of nodes that were never gone; in a storm of them
        # the owners must not be worked out anew each time.
        if any(table.candidates != self._candidates(zone) for zone, table in self._tables.items()):
            self._refresh()

    def _on_configuration(self, kind: ObjectKind, _name: str) -> None:
        if kind is ObjectKind.DRAIN:
            self._refresh()

    def _table(self, zone: str) -> _ZoneTable:
        if zone not in self._tables:
            self._tables[zone] = _ZoneTable()
            self._tables[zone].set_candidates(self._candidates(zone))
        return self._tables[zone]

    def _candidates(self, zone: str) -> frozenset[str]:
        """Return who may own the zone's back ends: its own nodes, else those of all others."""
        live = self._membership.live_members(zone)
        in_zone = frozenset(member.node_id for member in live if self._may_own(member.node_id))
        if in_zone:
            return in_zone
        everywhere = self._membership.live_members()
        return frozenset(m.node_id for m in everywhere if self._may_own(m.node_id))

    def _may_own(self, node_id: str) -> bool:
        return not (self._configuration.is_draining(node_id) or self._machines.is_leaving(node_id))

    def _refresh(self) -> None:
        backends = [machine for kind in BACKEND_KINDS for machine in self._machines.machines(kind)]
        for zone, table in self._tables.items():
            table.set_candidates(self._candidates(zone))
            table.forget_all_but(m.machine_id for m in backends if m.zone == zone)
        before = {machine.machine_id for machine in self._owned}
        self._owned = tuple(self._owned_among(backends))
        if {machine.machine_id for machine in self._owned} != before:
            notify(self._listeners)

    def _owned_among(self, backends: Sequence[Machine]) -> list[Machine]:
        """Return the owned ones; no hashing for zones of which this node is no candidate."""
        node_id = self._membership.node_id
        zones = {machine.zone for machine in backends}
        reachable = {zone for zone in zones if node_id in self._table(zone).candidates}
        return [
            machine
            for machine in backends
            if machine.zone in reachable and self.owner_of(machine.machine_id) == node_id
        ]
