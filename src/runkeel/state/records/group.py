"""Life of a replica group: formation, joining, recovery, replacement, forming anew."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from loguru import logger

from runkeel.api.configuration import RecordGroupSpec
from runkeel.api.interfaces import Membership, PeerClient
from runkeel.errors import RunkeelError
from runkeel.state.records import metrics
from runkeel.state.records.departure import PlannedDeparture
from runkeel.state.records.member_changes import (
    MemberChanges,
    choose_members,
    rendezvous_order,
)
from runkeel.state.records.options import RecordOptions
from runkeel.state.records.proposer import majority
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
        self.departure = PlannedDeparture(replica, Recovery(replica, peers, options))
        self._started_at = clock()
        self._loss_rounds = 0
        self._changes = MemberChanges(replica.group, membership, options, clock)

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
        self._changes.observe(view.spec)
        if self._replica.epoch != view.spec.epoch:
            return
        if self._replica.phase is ReplicaPhase.JOINING:
            self._join(view)
        elif self._replica.phase is ReplicaPhase.RECOVERING:
            self._recover(view)
        elif self._changes.abandoned(view.spec) >= majority(len(view.spec.members)):
            self._form_anew_if_first(view)
        elif self._replica.phase is ReplicaPhase.VOTING:
            self._change_member(view)

    def hand_over(self) -> None:
        """Let a live node that is no member take this leaving member's place, if there is one.

        The caller has committed the departure: enough others vote, whether this succeeds or not.
        """
        view = self._store.group(self._replica.group)
        if view is None or self._replica.phase is not ReplicaPhase.VOTING:
            return
        self._changes.observe(view.spec)
        proposal = self._changes.replace(view.spec, self._replica.node_id)
        if proposal is None or self._replica.epoch != view.spec.epoch:
            return
        others = [node_id for node_id in view.spec.members if node_id != self._replica.node_id]
        if self.departure.all_vote(others):
            self._change("hand_over", view.generation, proposal[0])

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
            return self._changes.dead_seconds(node_id) >= self._options.abandon_after_seconds
        return status == ReplicaStatus.RECOVERING

    def _form_anew_if_first(self, view: GroupView) -> None:
        """Form the group anew unless a member that lives, or a node that comes first, will."""
        live = self._membership.live_members()
        order = [member.node_id for member in rendezvous_order(self._replica.group, live)]
        order.sort(key=lambda node_id: node_id not in view.spec.members)
        if order and order[0] == self._replica.node_id:
            self._form_anew(view)

    def _form_anew(self, view: GroupView) -> None:
        """Start the next epoch with nobody joined; earlier records are forgotten.

        A node that sees fewer zones than a majority may itself be cut off, and does nothing.
        """
        live = self._membership.live_members()
        members = choose_members(self._replica.group, live, self._options.max_members)
        if len(members) < majority(len(view.spec.members)):
            return
        spec = RecordGroupSpec(epoch=view.spec.epoch + 1, members=members)
        logger.warning(
            "record group lost its majority", code="record_group_lost", group=self._replica.group
        )
        self._change("form_anew", view.generation, spec)

    # Replacement and growth

    def _change_member(self, view: GroupView) -> None:
        """Replace or add one member, if all that stay are voting in this epoch.

        One live member does it; the check keeps two changes from running into each other, and a
        node that is cut off from the others from changing anything.
        """
        proposal = self._changes.propose(view.spec)
        if proposal is None:
            return
        spec, dropped = proposal
        staying = [node_id for node_id in view.spec.members if node_id != dropped]
        if next(filter(self._membership.is_live, staying), None) != self._replica.node_id:
            return
        others = [node_id for node_id in staying if node_id != self._replica.node_id]
        if self._recovery.all_voting(others):
            self._change("replace" if dropped else "add", view.generation, spec)
