"""Membership of the cluster: who is alive, where, and how loaded."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable, Sequence

import gevent
from gevent.event import Event
from loguru import logger

from runkeel.api.machines import Address, Member, MemberStatus, PoolSummary
from runkeel.membership import metrics
from runkeel.membership.announcer import Announcer
from runkeel.membership.bridging import Bridging
from runkeel.membership.datagrams import DatagramCodec, member_of, record_of
from runkeel.membership.digests import DigestMonitor
from runkeel.membership.heartbeats import Heartbeats
from runkeel.membership.housekeeping import Housekeeper
from runkeel.membership.live import LiveView
from runkeel.membership.loads import LoadTable
from runkeel.membership.news import NewsQueue
from runkeel.membership.notifier import Notifier
from runkeel.membership.probing import PROBE_TIMEOUT_SECONDS, Prober
from runkeel.membership.suspicions import SUSPICION_SECONDS, Suspicions
from runkeel.membership.synchronizer import Synchronizer
from runkeel.membership.table import MemberTable, short_number
from runkeel.membership.transport import DatagramTransport, Traffic, monotonic
from runkeel.membership.zones import ZoneReachability
from runkeel.wire.generated.membership.ttypes import Datagram, DatagramKind, MemberRecord
from runkeel.wire.links import LinkPolicy

TICK_SECONDS = 0.1
PAUSE_SECONDS = PROBE_TIMEOUT_SECONDS + SUSPICION_SECONDS
"""A standstill of this process after which others may have taken it for dead."""

_TO_ACQUAINTANCES = (
    DatagramKind.PING,
    DatagramKind.ACK,
    DatagramKind.PROBE_REQUEST,
    DatagramKind.HEARTBEAT,
)
_GONE = (MemberStatus.DEAD, MemberStatus.LEFT)


class GossipMembership:
    """Implements :class:`runkeel.api.interfaces.Membership` over UDP.

    Callbacks run one after another in a task of their own, those of :meth:`on_incarnation`
    in the receiving task before this node goes on; the latter must not block.

    Args:
        http: address of this node's HTTP face.
        peer: address that peers connect to.
        listen_address: for datagrams; port 0 lets the kernel choose.
        incarnation: must be higher than in this node's earlier lives; wall-clock milliseconds do.
        seeds: datagram addresses of some nodes of any zone; this node's own does no harm.
    """

    def __init__(
        self,
        node_id: str,
        zone: str,
        cluster_name: str,
        cluster_key: bytes,
        incarnation: int,
        http: Address,
        peer: Address,
        listen_address: Address,
        seeds: Sequence[Address] = (),
        link_policy: LinkPolicy | None = None,
    ) -> None:
        self.node_id = node_id
        self.zone = zone
        self._number = short_number(node_id)
        self._link_policy = link_policy or LinkPolicy()
        self._local = Member(
            node_id, zone, incarnation, MemberStatus.ALIVE, http, peer, listen_address
        )
        codec = DatagramCodec(cluster_name, cluster_key)
        self._transport = DatagramTransport(
            zone, listen_address, codec, self._link_policy, self._on_datagram
        )
        self._table = MemberTable()
        self._zones = ZoneReachability(node_id, zone)
        self._live_view = LiveView(self._table, self._zones)
        self._loads = LoadTable(node_id, zone)
        self._news = NewsQueue()
        self._digests = DigestMonitor()
        self._notifier = Notifier()
        self._prober = Prober(node_id, zone, self._table, self._send_probe, self._suspect)
        self._announcer = Announcer(self, self._table)
        self._synchronizer = Synchronizer(self, self._table, tuple(seeds), self._announce_local)
        self._bridging = Bridging(self, self._table, self._zones, self._loads)
        self._heartbeats = Heartbeats(self, self._table, self._loads, self._bridging)
        self._housekeeper = Housekeeper(
            self, self._table, self._loads, self._digests, self._notifier
        )
        self._suspicions = Suspicions()
        self._incarnation_callbacks: list[Callable[[int], None]] = []
        self._turn_at = monotonic()
        self._stopped = Event()
        self._task: gevent.Greenlet | None = None

    @property
    def gossip_address(self) -> Address:
        """Address that datagrams are received at; known after :meth:`start`."""
        return self._local.gossip

    @property
    def traffic(self) -> Traffic:
        """Bytes and datagrams of this node."""
        return self._transport.traffic

    def start(self) -> None:
        """Bind, and begin to join. Raises OSError when the address can't be bound."""
        self._bind()
        self._notifier.start()
        self._task = gevent.spawn(self._run)

    def _bind(self) -> None:
        self._local = dataclasses.replace(self._local, gossip=self._transport.bind())
        self._turn_at = monotonic()
        self._table.merge(self._local, self._turn_at)
        self._transport.start()

    def stop(self) -> None:
        """Stop without a word to the others; see :meth:`leave`."""
        self._stopped.set()
        if self._task is not None:
            self._task.kill(timeout=1.0)
        self._transport.stop()
        self._notifier.stop()

    def local(self) -> Member:
        """Return this node, with its present incarnation."""
        return self._local

    def live_members(self, zone: str | None = None) -> tuple[Member, ...]:
        """Return the nodes believed alive or suspect, this one included, sorted by id."""
        return self._live_view.members(zone)

    def member(self, node_id: str) -> Member | None:
        """Return what is known of a node, dead or alive."""
        return self._table.get(node_id)

    def is_live(self, node_id: str) -> bool:
        """Return whether the node is believed alive or suspect, and its zone reachable."""
        return self._live_view.is_live(node_id)

    def peer_address(self, node_id: str) -> tuple[Address, str] | None:
        """Return a node's peer address and zone; an address book for PeerNetwork."""
        member = self._table.get(node_id)
        return None if member is None else (member.peer, member.zone)

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call back after the set of live nodes, or an incarnation among them, has changed."""
        self._notifier.on_change(callback)

    def on_incarnation(self, callback: Callable[[int], None]) -> None:
        """Call back when this node has taken a new incarnation; must not block."""
        self._incarnation_callbacks.append(callback)

    def pool_summaries(self, pool: str) -> tuple[PoolSummary, ...]:
        """Return the latest summaries of the pool's live owners, this node's own included."""
        return self._loads.summaries(pool, self.is_live, monotonic())

    def publish_summaries(self, summaries: Iterable[PoolSummary]) -> None:
        """Replace this node's own summaries, to be spread with the next heartbeats."""
        self._loads.publish(summaries)

    def publish_state_digest(self, digest: int) -> None:
        """Set the 64-bit digest of the replicated state, spread with heartbeats and probes."""
        self._digests.publish(digest)

    def on_state_mismatch(self, callback: Callable[[str], None]) -> None:
        """Call back with the id of a node whose digest has differed twice in a row."""
        self._notifier.on_mismatch(callback)

    def leave(self) -> None:
        """Tell the others at once that this node is leaving on purpose."""
        if self._local.status is MemberStatus.LEFT:
            return
        members = self._table.live_in(self.zone)
        targets = [member for member in members if member.node_id != self.node_id]
        targets += self._bridging.targets()
        self._set_local(dataclasses.replace(self._local, status=MemberStatus.LEFT))
        # Twice, as there is nobody to repeat it later should the datagrams be lost.
        for _ in range(2):
            self.send(DatagramKind.NEWS, targets, records=[record_of(self._local)])
        self._after_change()

    def send(self, kind: int, targets: Sequence[Member], **fields: object) -> int:
        """Send a datagram to members; for the parts of this package. Returns its bytes."""
        return self.send_to(kind, [(member.gossip, member.zone) for member in targets], **fields)

    def send_to(
        self, kind: int, targets: list[tuple[Address, str | None]], **fields: object
    ) -> int:
        """Send a datagram to addresses, each with its zone if known. Returns its bytes."""
        datagram = Datagram(kind, **fields)
        if kind in _TO_ACQUAINTANCES:
            datagram.sender_number = self._number
        else:
            datagram.sender = self.node_id
        if kind != DatagramKind.HEARTBEAT:
            datagram.incarnation = self._local.incarnation
        if any(zone != self.zone for _, zone in targets):
            datagram.zone = self.zone
        return self._transport.send(datagram, targets)

    def state_digest(self) -> int | None:
        """Return this node's own state digest."""
        return self._digests.own

    def _run(self) -> None:
        while not self._stopped.wait(TICK_SECONDS):
            try:
                self._tick()
            except Exception as error:
                logger.opt(exception=error).error("membership turn failed", code="internal")

    def _tick(self) -> None:
        now, lag = self._begin_turn()
        if self._local.status is MemberStatus.LEFT:
            return
        self._prober.tick(now, lag)
        self._suspicions.postpone(lag)
        self._end_suspicions(now)
        self._synchronizer.tick(now)
        self._announcer.tick(now)
        self._heartbeats.tick(now)
        self._bridging.tick(now)
        self._judge_zones(now)
        self._housekeeper.tick(now)
        self._after_change()

    def _begin_turn(self) -> tuple[float, float]:
        """Return the time and how late this turn is, after dealing with a pause."""
        now = monotonic()
        gap = now - self._turn_at
        self._turn_at = now
        if gap > PAUSE_SECONDS:
            self._prober.forget()
            self._zones.forgive(now)
            self._suspicions.postpone(gap)
            if self._local.status is not MemberStatus.LEFT:
                self._raise_incarnation(self._local.incarnation, "pause")
        return now, max(0.0, gap - 2 * TICK_SECONDS)

    def _on_datagram(self, datagram: Datagram, source: Address) -> None:
        now, _ = self._begin_turn()
        sender = self._sender_of(datagram, source)
        zone = datagram.zone or (sender.zone if sender is not None else None)
        if datagram.sender == self.node_id or sender == self._local:
            return
        if zone is not None and zone != self.zone and self._link_policy.is_cut(zone):
            return
        is_repeat = datagram.kind == DatagramKind.SYNC and (
            zone == self.zone or not self._synchronizer.joined
        )
        for record in datagram.records or ():
            self._merge(record, now, source, zone, is_repeat)
        sender = self._sender_of(datagram, source)
        if sender is None or sender.incarnation < (datagram.incarnation or 0):
            self._synchronizer.ask_introduction(source, zone, now)
        elif sender.status in _GONE:
            self._synchronizer.accuse(sender, source, zone, now)
        if zone is not None and zone != self.zone:
            self._zones.hear(zone, now)
        if sender is not None:
            self._take(datagram, sender, source, now)
        elif datagram.kind in (DatagramKind.JOIN, DatagramKind.SYNC_REQUEST):
            self._synchronizer.on_request(datagram, source, zone, now)
        self._after_change()

    def _sender_of(self, datagram: Datagram, source: Address) -> Member | None:
        if datagram.sender is not None:
            return self._table.get(datagram.sender)
        return self._table.by_number(datagram.sender_number, source)

    def _take(self, datagram: Datagram, sender: Member, source: Address, now: float) -> None:
        for node_load in datagram.loads or ():
            number = node_load.node_number
            member = sender if number is None else self._table.by_number(number)
            if member is not None:
                self._loads.merge(node_load, member, now)
        if datagram.state_digest is not None:
            self._digests.hear(sender.node_id, datagram.state_digest)
        if datagram.lost_zones is not None and sender.zone == self.zone:
            self._zones.report(sender.node_id, datagram.lost_zones, now)
        kind = datagram.kind
        if kind == DatagramKind.PING:
            self._send_probe(DatagramKind.ACK, sender, number=datagram.number)
        elif kind == DatagramKind.ACK:
            self._prober.on_ack(datagram.number)
        elif kind == DatagramKind.PROBE_REQUEST:
            self._prober.on_probe_request(sender.node_id, datagram.number, datagram.target, now)
        elif kind == DatagramKind.BRIDGE:
            self._bridging.on_bridge(sender)
        elif kind in (DatagramKind.JOIN, DatagramKind.SYNC_REQUEST):
            self._synchronizer.on_request(datagram, source, sender.zone, now)
        if datagram.view_hash is not None:
            self._synchronizer.on_view_hash(sender, datagram.view_hash, now)
        if kind in (DatagramKind.BRIDGE, DatagramKind.BRIDGE_REPLY):
            self._synchronizer.on_zone_hashes(sender, datagram.zone_hashes or (), now)

    def _merge(
        self, record: MemberRecord, now: float, source: Address, zone: str | None, is_repeat: bool
    ) -> None:
        """Take a member record; ``is_repeat`` when the zone has heard of it already."""
        if record.node_id == self.node_id:
            self._answer_accusation(record, source, zone)
            return
        known = self._table.get(record.node_id)
        member = member_of(record, known)
        if member is None:
            return
        if not self._table.merge(member, now):
            if zone == self.zone and member == known:
                self._announcer.heard(member.node_id)
            return
        if zone != self.zone and not is_repeat:
            self._announcer.add(member.node_id, now)
        elif member.zone == self.zone and not is_repeat:
            self._news.add(member)
        if member.status is MemberStatus.SUSPECT and member.zone == self.zone:
            self._suspicions.begin(member.node_id, now)
        else:
            self._suspicions.end(member.node_id)

    def _answer_accusation(self, record: MemberRecord, source: Address, zone: str | None) -> None:
        mine = (self._local.incarnation, int(self._local.status))
        theirs = (record.incarnation, record.status)
        # An earlier life may have had this incarnation, and others its address.
        is_earlier_life = theirs == mine and record.gossip != record_of(self._local).gossip
        if theirs < mine or (theirs == mine and not is_earlier_life):
            return
        self._raise_incarnation(record.incarnation, "accused")
        self.send_to(DatagramKind.NEWS, [(source, zone)], records=[record_of(self._local)])

    def _raise_incarnation(self, above: int, reason: str) -> None:
        incarnation = max(above, self._local.incarnation) + 1
        self._set_local(dataclasses.replace(self._local, incarnation=incarnation))
        metrics.REFUTATIONS.labels(reason).inc()
        logger.info(
            "new incarnation {}", incarnation, code="incarnation", node=self.node_id, reason=reason
        )
        for callback in self._incarnation_callbacks:
            try:
                callback(incarnation)
            except Exception as error:
                logger.opt(exception=error).error("incarnation callback failed", code="internal")
        self._announce_local()

    def _set_local(self, member: Member) -> None:
        self._local = member
        self._table.merge(member, monotonic())
        self._news.add(member)

    def _announce_local(self) -> None:
        self._announcer.add_urgent(self.node_id, monotonic())

    def _suspect(self, target: Member) -> None:
        now = monotonic()
        present = self._table.get(target.node_id)
        if present is None or present.status is not MemberStatus.ALIVE:
            return
        metrics.SUSPICIONS.inc()
        suspect = dataclasses.replace(present, status=MemberStatus.SUSPECT)
        self._table.merge(suspect, now)
        self._news.add(suspect)
        self._suspicions.begin(suspect.node_id, now)
        self._announcer.add_urgent(suspect.node_id, now)

    def _end_suspicions(self, now: float) -> None:
        for node_id in self._suspicions.take_expired(now):
            suspect = self._table.get(node_id)
            if suspect is None or suspect.status is not MemberStatus.SUSPECT:
                continue
            dead = dataclasses.replace(suspect, status=MemberStatus.DEAD)
            self._table.merge(dead, now)
            self._news.add(dead)
            logger.info("node {} is dead", node_id, code="member_dead", node=self.node_id)

    def _send_probe(self, kind: int, receiver: Member, **fields: object) -> None:
        zone_size = len(self._table.live_in(self.zone))
        records = self._news.take(self._table.get, zone_size)
        if receiver.status is MemberStatus.SUSPECT:
            records.append(record_of(receiver))
        if kind != DatagramKind.PROBE_REQUEST:
            fields["view_hash"] = self._table.view_hash()
            fields["loads"] = self._loads.relayed(monotonic()) or None
        if kind == DatagramKind.PING:
            # The same node pings each second, so what a lost push left behind is noticed long
            # before two heartbeats of a large zone have come.
            fields["state_digest"] = self._digests.own
        self.send(kind, [receiver], records=records or None, **fields)

    def _judge_zones(self, now: float) -> None:
        if self._bridging.report_changed(now):
            self._heartbeats.hasten(now)
        bridge_ids = [member.node_id for member in self._table.bridges(self.zone)]
        self._zones.evaluate(self._table.zones(), bridge_ids, now)

    def _after_change(self) -> None:
        if self._live_view.changed():
            metrics.LIVE_MEMBERS.labels(self.node_id).set(len(self.live_members()))
            self._notifier.report_change()
