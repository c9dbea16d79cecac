"""Rendezvous hashing of steps over nodes (Thaler and Ravishankar, 1996)."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from runkeel.api.interfaces import Configuration, Membership
from runkeel.api.machines import Member
from runkeel.rollouts.sample import StepKey


def _weight(step: StepKey, node_id: str) -> bytes:
    text = f"{step.model}\0{step.step_id}\0{node_id}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


class StepRanking:
    """Orders the live nodes for a step: its owner first, then those that hold copies."""

    def __init__(self, membership: Membership, configuration: Configuration) -> None:
        self._membership = membership
        self._configuration = configuration

    def ranked(self, step: StepKey) -> list[Member]:
        """Return the live nodes, best first; nodes that are being drained come last."""
        members = self._membership.live_members()
        return sorted(
            members,
            key=lambda member: (
                self._configuration.is_draining(member.node_id),
                _weight(step, member.node_id),
            ),
        )

    def owner(self, step: StepKey) -> str:
        """Return the id of the node that owns the step in this node's view."""
        ranked = self.ranked(step)
        return ranked[0].node_id if ranked else self._membership.node_id

    def replica_candidates(self, step: StepKey) -> list[Member]:
        """Return the other nodes in the order in which to try them for a second copy.

        Nodes of other zones only, unless no such node is alive: then no majority of zones is
        either, and nothing can be handed over before that changes.
        """
        others = [
            member for member in self.ranked(step) if member.node_id != self._membership.node_id
        ]
        remote = [member for member in others if member.zone != self._membership.zone]
        return remote or others

    def copy_holders(self, step: StepKey) -> list[Member]:
        """Return the nodes where an earlier owner is likely to have left copies.

        These are the earlier owner itself (when alive: the best of the ranking) and the best
        of each zone, since a copy goes to the best node outside the owner's zone.
        """
        others = [
            member for member in self.ranked(step) if member.node_id != self._membership.node_id
        ]
        return list(_first_of_each_zone(others).values())


def _first_of_each_zone(members: Iterable[Member]) -> dict[str, Member]:
    first: dict[str, Member] = {}
    for member in members:
        first.setdefault(member.zone, member)
    return first
