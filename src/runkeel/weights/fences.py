"""Fences: numbers by which an engine refuses orders that have been overtaken.

A fence is four numbers in one positive signed 64-bit integer, most significant first::

    model generation (22 bits) | role generation (14) | round (14) | owner (13)

The generations of the configuration objects that the order carries out come first. An order
of an older deploy is therefore refused once a newer one has been accepted, whatever owner
sent it and however late it arrives, and an owner whose configuration lags sees in the
engine's fence that it lags. Within the same generations all orders ask for the same state,
so a tie (two owners with the same owner bits) does no harm.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

_MODEL_BITS = 22
_ROLE_BITS = 14
_ROUND_BITS = 14
_OWNER_BITS = 13
MAXIMUM_ROUND = (1 << _ROUND_BITS) - 1


@dataclass(frozen=True, slots=True, order=True)
class Fence:
    """A fence, split into its parts.

    Attributes:
        round: grows with each order of the same generations, up to MAXIMUM_ROUND.
        owner: hash of the sender's node id and incarnation.
    """

    model_generation: int
    role_generation: int
    round: int
    owner: int

    @classmethod
    def parse(cls, number: int) -> Fence:
        """Split a fence that an engine has reported."""
        number, owner = divmod(max(0, number), 1 << _OWNER_BITS)
        number, round_number = divmod(number, 1 << _ROUND_BITS)
        model_generation, role_generation = divmod(number, 1 << _ROLE_BITS)
        return cls(model_generation, role_generation, round_number, owner)

    def to_number(self) -> int:
        """Return the number that goes to the engine."""
        number = self.model_generation % (1 << _MODEL_BITS)
        number = (number << _ROLE_BITS) | (self.role_generation % (1 << _ROLE_BITS))
        number = (number << _ROUND_BITS) | self.round
        return (number << _OWNER_BITS) | self.owner

    def knows_more_than(self, model_generation: int, role_generation: int) -> bool:
        """Return whether whoever made this fence had newer configuration than the given one."""
        return self.model_generation > model_generation or self.role_generation > role_generation


def owner_bits(node_id: str, incarnation: int) -> int:
    """Return the owner part of a node's fences."""
    digest = hashlib.blake2b(f"{node_id}@{incarnation}".encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") % (1 << _OWNER_BITS)


def next_fence(
    seen: Fence, sent: Fence, model_generation: int, role_generation: int, owner: int
) -> Fence:
    """Return a fence above the highest that the engine reports and above what this owner sent.

    The own one counts too: an order whose answer was lost may still be on its way.
    """
    rounds = [
        fence.round
        for fence in (seen, sent)
        if (fence.model_generation, fence.role_generation) == (model_generation, role_generation)
    ]
    round_number = min(max(rounds, default=0) + 1, MAXIMUM_ROUND)
    return Fence(model_generation, role_generation, round_number, owner)
