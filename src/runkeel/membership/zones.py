"""Which other zones can be reached, as the bridges of this zone observe it."""

from __future__ import annotations

from dataclasses import dataclass

from loguru import logger

from runkeel.membership import metrics

ZONE_TIMEOUT_SECONDS = 2.5
"""Silence after which a bridge takes a zone for cut off."""

REPORT_SECONDS = 8.0
"""How long a bridge's report counts; a bridge that dies stops being a bridge sooner."""


@dataclass(frozen=True, slots=True)
class _Report:
    lost: frozenset[str]
    received_at: float


class ZoneReachability:
    """What this node hears of other zones, and what the bridges report.

    A zone is reachable unless all bridges of this zone have lost it. While no bridge is known to
    report, the last belief stays; a zone not judged yet counts as reachable.
    """

    def __init__(self, node_id: str, zone: str) -> None:
        self.version = 0
        self._node_id = node_id
        self._zone = zone
        self._heard_at: dict[str, float] = {}
        self._reports: dict[str, _Report] = {}
        self._unreachable: set[str] = set()

    def hear(self, zone: str, now: float) -> None:
        """Note a datagram from another zone."""
        self._heard_at[zone] = now

    def report(self, bridge_id: str, lost_zones: list[str], now: float) -> None:
        """Take a bridge's report of the zones that it does not hear."""
        self._reports[bridge_id] = _Report(frozenset(lost_zones), now)

    def is_reachable(self, zone: str) -> bool:
        """Return whether the members of a zone can be reached."""
        return zone not in self._unreachable

    def lost_zones(self, zones: list[str], now: float) -> list[str]:
        """Return the other zones that this node itself does not hear."""
        return [zone for zone in zones if zone != self._zone and not self._hears(zone, now)]

    def forgive(self, now: float) -> None:
        """Restart all silence clocks: this process was paused or has just become a bridge."""
        for zone in self._heard_at:
            self._heard_at[zone] = now

    def evaluate(self, zones: list[str], bridge_ids: list[str], now: float) -> bool:
        """Judge the other zones anew; return whether the judgement has changed."""
        is_bridge = self._node_id in bridge_ids
        self._reports = {
            bridge_id: report
            for bridge_id, report in self._reports.items()
            if bridge_id in bridge_ids and now - report.received_at < REPORT_SECONDS
        }
        before = frozenset(self._unreachable)
        self._unreachable.intersection_update(zones)
        for zone in zones:
            if zone != self._zone:
                self._judge(zone, is_bridge, now)
        if before == self._unreachable:
            return False
        self.version += 1
        self._tell(before)
        return True

    def _judge(self, zone: str, is_bridge: bool, now: float) -> None:
        votes = [zone not in report.lost for report in self._reports.values()]
        if is_bridge:
            votes.append(self._hears(zone, now))
        if not votes:
            return
        if any(votes):
            self._unreachable.discard(zone)
        else:
            self._unreachable.add(zone)

    def _hears(self, zone: str, now: float) -> bool:
        # A zone just learned of gets the whole time to be heard.
        return now - self._heard_at.setdefault(zone, now) <= ZONE_TIMEOUT_SECONDS

    def _tell(self, before: frozenset[str]) -> None:
        for zone in self._unreachable - before:
            metrics.ZONE_CHANGES.labels("lost").inc()
            logger.info("zone {} is unreachable", zone, code="zone_lost", node=self._node_id)
        for zone in before - self._unreachable:
            metrics.ZONE_CHANGES.labels("found").inc()
            logger.info("zone {} is reachable again", zone, code="zone_found", node=self._node_id)
