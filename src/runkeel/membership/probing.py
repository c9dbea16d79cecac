"""Failure detection inside a zone by direct and indirect probes.

After SWIM (Das, Gupta, Motivala, 2002), with two changes. One probe a period goes to the next
node in an order that all nodes agree on, so that every node is probed each period, where random
targets leave a third of them out; another goes to a random node, so that a node whose prober
died with it is found, and so that news and table hashes cross the zone in few steps. And a
prober that was late itself does not blame its targets (an idea of Lifeguard: Dadgar, Phillips,
Currey, 2017).
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from runkeel.api.machines import Member
from runkeel.membership.table import MemberTable
from runkeel.wire.generated.membership.ttypes import DatagramKind

PROBE_PERIOD_SECONDS = 1.0
INDIRECT_AFTER_SECONDS = 0.35
PROBE_TIMEOUT_SECONDS = 0.7
INDIRECT_HELPERS = 3
MAXIMUM_RELAYS = 256
RELAY_SECONDS = 1.0


@dataclass(slots=True)
class _Probe:
    target: Member
    sent_at: float
    indirect: bool = False


@dataclass(slots=True)
class _Relay:
    requester: str
    number: int
    expires_at: float


class Prober:
    """Probes other nodes and relays indirect probes of others.

    Args:
        send: sends a datagram of a kind to a member with probe number and target.
        on_failure: called with a member that has not answered.
    """

    def __init__(
        self,
        node_id: str,
        zone: str,
        table: MemberTable,
        send: Callable[..., None],
        on_failure: Callable[[Member], None],
    ) -> None:
        self._node_id = node_id
        self._zone = zone
        self._table = table
        self._send = send
        self._on_failure = on_failure
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, _Relay] = {}
        self._next_number = random.randrange(1 << 16)
        self._next_period_at = 0.0

    def tick(self, now: float, lag_seconds: float) -> None:
        """Send what is due and judge what was not answered.

        Args:
            lag_seconds: how late this turn is; what waited so long is not held against targets.
        """
        for probe in self._probes.values():
            probe.sent_at += lag_seconds
        for number, probe in list(self._probes.items()):
            self._advance(number, probe, now)
        if now >= self._next_period_at:
            self._next_period_at = now + PROBE_PERIOD_SECONDS
            self._start_period(now)

    def on_ack(self, number: int) -> None:
        """Take the answer to a probe of this node, or pass it on."""
        self._probes.pop(number, None)
        relay = self._relays.pop(number, None)
        if relay is not None:
            requester = self._table.get(relay.requester)
            if requester is not None:
                self._send(DatagramKind.ACK, requester, number=relay.number)

    def on_probe_request(self, requester: str, number: int, target_id: str, now: float) -> None:
        """Probe a target on behalf of another node."""
        target = self._table.get(target_id)
        if target is None or len(self._relays) >= MAXIMUM_RELAYS:
            return
        own_number = self._number()
        self._relays[own_number] = _Relay(requester, number, now + RELAY_SECONDS)
        self._send(DatagramKind.PING, target, number=own_number)

    def forget(self) -> None:
        """Drop all probes under way: this process was paused."""
        self._probes.clear()
        self._relays.clear()

    def _targets(self) -> list[Member]:
        """Return the next live node by rank, and a random other one."""
        ring = self._table.ring(self._zone)
        ids = [member.node_id for member in ring]
        if self._node_id not in ids:
            return []
        start = ids.index(self._node_id)
        following = [*ring[start + 1 :], *ring[:start]]
        if len(following) < 2:
            return following
        return [following[0], random.choice(following[1:])]

    def _start_period(self, now: float) -> None:
        for number in [key for key, relay in self._relays.items() if relay.expires_at < now]:
            del self._relays[number]
        for target in self._targets():
            number = self._number()
            self._probes[number] = _Probe(target, now)
            self._send(DatagramKind.PING, target, number=number)

    def _advance(self, number: int, probe: _Probe, now: float) -> None:
        waited = now - probe.sent_at
        if waited >= PROBE_TIMEOUT_SECONDS:
            del self._probes[number]
            self._on_failure(probe.target)
        elif waited >= INDIRECT_AFTER_SECONDS and not probe.indirect:
            probe.indirect = True
            self._send(DatagramKind.PING, probe.target, number=number)
            for helper in self._helpers(probe.target):
                target_id = probe.target.node_id
                self._send(DatagramKind.PROBE_REQUEST, helper, number=number, target=target_id)

    def _helpers(self, target: Member) -> list[Member]:
        excluded = (self._node_id, target.node_id)
        members = self._table.live_in(self._zone)
        candidates = [member for member in members if member.node_id not in excluded]
        return random.sample(candidates, min(INDIRECT_HELPERS, len(candidates)))

    def _number(self) -> int:
        self._next_number = (self._next_number + 1) & 0x3FFFFFFF
        return self._next_number
