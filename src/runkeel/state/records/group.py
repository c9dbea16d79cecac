"""Life of a replica group: formation, joining, recovery, replacement, forming anew."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from loguru import logger

from runkeel.api.configuration import RecordGroupSpec
from runkeel.api.interfaces import Membership, PeerClient
from runkeel.api.machines import Member
from runkeel.errors import RunkeelError
from runkeel.state.records import metrics
from runkeel.state.records.options import RecordOptions
from runkeel.state.records.recovery import Recovery, recovery_quorum
from runkeel.state.records.replica import Replica, ReplicaPhase
from runkeel.wire.generated.records.ttypes import ReplicaStatus


@dataclass(frozen=True, slots=True)
class GroupView:
    """A group object in force; generation 0 stands for none."""

    generation: int
    spec: RecordGroupSpec


class GroupStore(Protocol):
    """The group objects of the object API, as this node last heard of them."""

    def group(self, name: str) -> GroupView | None:
        """Return the object in force here, or None. Never blocks."""

    def change(
        self, name: str, expected_generation: int, spec: RecordGroupSpec, timeout_seconds: float
    ) -> None:
        """Write the object if its generation is still the expected one (0: none yet).

        Raises:
            RunkeelError: CONFLICT, STORE_UNAVAILABLE or STORE_OUTCOME_UNKNOWN. The caller does
                not act on the outcome but on what :meth:`group` shows later.
        """

    def on_change(self, callback: Callable[[str], None]) -> None:
        """Call back with a group's name after its object has changed."""


def rendezvous_order(group: str, members: Iterable[Member]) -> list[Member]:
    """Return the nodes in the group's order of preference (highest random weight)."""

    def weight(member: Member) -> bytes:
        return hashlib.blake2b(f"{group}/{member.node_id}".encode(), digest_size=8).digest()

    return sorted(members, key=weight)


def choose_members(group: str, live: Iterable[Member], limit: int) -> tuple[str, ...]:
    """Return one live node a zone, at most ``limit``."""
    chosen: dict[str, str] = {}
    for member in rendezvous_order(group, live):
        chosen.setdefault(member.zone, member.node_id)
    return tuple(list(chosen.values())[:limit])


class GroupManager:
    """Looks after one group on one node; :meth:`step` is called at intervals and on changes."""

    def __init__(
        self,
        replica: Replica,
        peers: PeerClient,
        membership: Membership,
        store: GroupStore,
        options: RecordOptions,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._replica = replica
        self._membership = membership
        self._store = store
        self._options = options
        self._clock = clock
        self._rng = rng
        self._recovery = Recovery(replica, peers, options)
        self._started_at = clock()
        self._loss_rounds = 0
        self._unseen_since: dict[str, float] = {}

    def observe(self) -> None:
        """Let the replica take over the group object in force."""
        view = self._store.group(self._replica.group)
        if view is not None:
            self._replica.observe(view.spec)

    def step(self) -> None:
        """Do what the present phase asks for, once."""
        self.observe()
        view = self._store.group(self._replica.group)
        if view is None:
            self._create()
            return
        self._track_liveness(view.spec)
        if self._replica.epoch != view.spec.epoch:
            return
        if self._replica.phase is ReplicaPhase.JOINING:
            self._join(view)
        elif self._replica.phase is ReplicaPhase.RECOVERING:
            self._recover(view)

    # Formation

    def _create(self) -> None:
        live = self._membership.live_members()
        waited = self._clock() - self._started_at
        expected = set(self._options.expected_zones)
        all_zones = bool(expected) and expected <= {member.zone for member in live}
        if not all_zones and waited < self._options.formation_wait_seconds:
            return
        members = choose_members(self._replica.group, live, self._options.max_members)
        # Members first; the others only if no member has done it.
        patience = 2 * self._options.formation_wait_seconds
        if self._replica.node_id in members or waited >= patience:
            self._change("create", 0, RecordGroupSpec(epoch=1, members=members))

    def _join(self, view: GroupView) -> None:
        entry = self._replica.own_entry()
        joined = (*view.spec.joined, entry)
        self._change("join", view.generation, view.spec.model_copy(update={"joined": joined}))

    def _change(self, change: str, generation: int, spec: RecordGroupSpec) -> None:
        name = self._replica.group
        try:
            self._store.change(name, generation, spec, self._options.store_timeout_seconds)
        except RunkeelError as error:
            metrics.FORMATIONS.labels(change, error.code.value).inc()
            return
        metrics.FORMATIONS.labels(change, "accepted").inc()
        logger.info("record group changed: {}", change, code="record_group_changed", group=name)
        self.observe()

    # Recovery and loss

    def _recover(self, view: GroupView) -> None:
        if self._recovery.run():
            self._loss_rounds = 0
            return
        if self._replica.epoch != view.spec.epoch or not self._majority_is_lost():
            self._loss_rounds = 0
            return
        self._loss_rounds += 1
        if self._loss_rounds >= self._options.loss_rounds:
            self._loss_rounds = 0
            self._form_anew(view)

    def _majority_is_lost(self) -> bool:
        """Whether too few members are left that can still vote for the others to recover."""
        statuses = self._recovery.statuses
        hopeful = [
            node_id for node_id, status in statuses.items() if not self._is_lost(node_id, status)
        ]
        return len(hopeful) < recovery_quorum(len(self._replica.members))

    def _is_lost(self, node_id: str, status: int | None) -> bool:
        if status is None:
            return self._unseen_seconds(node_id) >= self._options.abandon_after_seconds
        return status == ReplicaStatus.RECOVERING

    def _form_anew(self, view: GroupView) -> None:
        """Start the next epoch with nobody joined; earlier records are forgotten."""
        live = self._membership.live_members()
        members = choose_members(self._replica.group, live, self._options.max_members)
        spec = RecordGroupSpec(epoch=view.spec.epoch + 1, members=members)
        logger.warning(
            "record group lost its majority", code="record_group_lost", group=self._replica.group
        )
        self._change("form_anew", view.generation, spec)

    def _track_liveness(self, spec: RecordGroupSpec) -> None:
        now = self._clock()
        self._unseen_since = {
            node_id: self._unseen_since.get(node_id, now)
            for node_id in spec.members
            if not self._membership.is_live(node_id)
        }

    def _unseen_seconds(self, node_id: str) -> float:
        since = self._unseen_since.get(node_id)
        return 0.0 if since is None else self._clock() - since
