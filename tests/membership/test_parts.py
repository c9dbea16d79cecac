import dataclasses
import itertools
import unittest
from unittest import mock

import gevent
from hypothesis import given, settings
from hypothesis import strategies as st

from runkeel.api.machines import Address, Member, MemberStatus
from runkeel.errors import RunkeelError
from runkeel.membership import notifier as notifier_module
from runkeel.membership import table as table_module
from runkeel.membership.datagrams import (
    MAXIMUM_DATAGRAM_BYTES,
    DatagramCodec,
    member_of,
    record_of,
    split_records,
)
from runkeel.membership.digests import DigestMonitor
from runkeel.membership.heartbeats import LONGEST_INTERVAL_SECONDS, interval_seconds
from runkeel.membership.loads import FRESH_SECONDS, FRESH_SECONDS_OTHER_ZONES, LoadTable
from runkeel.membership.notifier import LONGEST_PAUSE_SECONDS, Notifier, pause_seconds
from runkeel.membership.table import MemberTable
from runkeel.wire.generated.membership.ttypes import Datagram, DatagramKind, MemberRecord
from tests.membership.simulation import summary

ADDRESS = Address("10.0.0.1", 65_535)
STATUSES = st.sampled_from(list(MemberStatus))


def member(node_id="node", zone="zone", incarnation=1, status=MemberStatus.ALIVE):
    return Member(node_id, zone, incarnation, status, ADDRESS, ADDRESS, ADDRESS)


class DatagramTest(unittest.TestCase):
    def test_record_round_trip(self):
        self.assertEqual(member_of(record_of(member()), None), member())
        dead = member(status=MemberStatus.DEAD)
        self.assertIsNone(member_of(record_of(dead), None))
        self.assertEqual(member_of(record_of(dead), member()), dead)

    def test_split_records_fit_datagrams(self):
        codec = DatagramCodec("c" * 50, b"key")
        records = [record_of(member("n" * 120 + str(n), "z" * 128)) for n in range(50)]
        chunks = split_records(records)
        self.assertEqual([each for chunk in chunks for each in chunk], records)
        for chunk in chunks:
            datagram = Datagram(DatagramKind.SYNC, "s" * 128, 2**62, "z" * 128, records=chunk)
            self.assertLessEqual(len(codec.seal(datagram)), MAXIMUM_DATAGRAM_BYTES)

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=1_300))
    def test_garbage_is_refused(self, data):
        with self.assertRaises(RunkeelError):
            DatagramCodec("c", b"key").open(data)

    def test_other_cluster_is_refused(self):
        data = DatagramCodec("one", b"key").seal(Datagram(DatagramKind.PING, "node"))
        with self.assertRaises(RunkeelError):
            DatagramCodec("two", b"key").open(data)

    def test_malformed_records_are_refused(self):
        for record in (
            MemberRecord("", "zone", 1, 1, b"\0" * 6, b"\0" * 6, b"\0" * 6),
            MemberRecord("node", "z" * 200, 1, 1, b"\0" * 6, b"\0" * 6, b"\0" * 6),
            MemberRecord("node", "zone", -1, 1, b"\0" * 6, b"\0" * 6, b"\0" * 6),
            MemberRecord("node", "zone", 1, 9, b"\0" * 6, b"\0" * 6, b"\0" * 6),
            MemberRecord("node", "zone", 1, 1, b"\0" * 3, None, b"\0" * 6),
        ):
            with self.assertRaises(RunkeelError):
                member_of(record, None)


class TableTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 2), STATUSES), min_size=1, max_size=4))
    def test_order_of_news_does_not_matter(self, news):
        results = set()
        for order in itertools.permutations(news):
            table = MemberTable()
            table.merge(member(incarnation=0), 0.0)
            for incarnation, status in order:
                table.merge(member(incarnation=incarnation, status=status), 0.0)
            results.add(table.get("node"))
        self.assertEqual(len(results), 1)

    def test_members_with_the_same_number_are_told_apart_by_address(self):
        table = MemberTable()
        other = Address("10.0.0.2", 1)
        with mock.patch.object(table_module, "short_number", lambda name: 7):
            table.merge(member("one"), 0.0)
            self.assertEqual(table.by_number(7).node_id, "one")
            table.merge(dataclasses.replace(member("two"), gossip=other), 0.0)
            self.assertIsNone(table.by_number(7))
            self.assertEqual(table.by_number(7, other).node_id, "two")

    def test_gone_nodes_are_forgotten_late_and_live_ones_never(self):
        table = MemberTable()
        for node_id in ("alive", "dead"):
            table.merge(member(node_id), 0.0)
        table.merge(member("dead", status=MemberStatus.DEAD), 0.0)
        table.forget_gone(599.0)
        self.assertIsNotNone(table.get("dead"))
        table.forget_gone(601.0)
        self.assertIsNone(table.get("dead"))
        self.assertIsNotNone(table.get("alive"))


class LoadTableTest(unittest.TestCase):
    def setUp(self):
        self.loads = LoadTable("here", "zone")

    def hear(self, sequence, now, wait=0):
        other = LoadTable("node", "zone")
        other.publish([summary("node", sequence, wait=wait)])
        for node_load in other.own_loads():
            self.loads.merge(node_load, member(), now)

    def sequences(self, now, live=True):
        return [each.sequence for each in self.loads.summaries("pool", lambda _: live, now)]

    def test_newest_sequence_wins_whatever_the_order(self):
        self.hear(5, 0.0)
        self.hear(4, 0.1)
        self.assertEqual(self.sequences(0.2), [5])

    def test_restarted_node_begins_its_sequence_anew(self):
        self.hear(500, 0.0)
        self.hear(1, 2.0)
        self.assertEqual(self.sequences(2.0), [1])

    def test_old_loads_and_those_of_dead_nodes_are_dropped(self):
        self.hear(1, 0.0)
        self.assertEqual(self.sequences(FRESH_SECONDS), [1])
        self.assertEqual(self.sequences(1.0, live=False), [])
        self.assertEqual(self.sequences(FRESH_SECONDS + 0.1), [])

    def test_relayed_load_grows_old_and_is_not_taken_back(self):
        there = LoadTable("there", "other zone")
        there.publish([summary("there")])
        self.loads.merge(there.own_loads()[0], member("there", "other zone"), 0.0)
        relayed = self.loads.relayed(FRESH_SECONDS_OTHER_ZONES)
        self.assertEqual([each.age_ms for each in relayed], [15_000])
        mate = LoadTable("mate", "zone")
        mate.merge(relayed[0], member("there", "other zone"), 100.0)
        self.assertEqual(len(mate.relayed(100.0)), 1)
        self.assertEqual(mate.relayed(100.1), [])
        late = LoadTable("late", "zone")
        relayed[0].age_ms += 100
        late.merge(relayed[0], member("there", "other zone"), 100.0)
        self.assertEqual(late.relayed(100.0), [])

    def test_many_pools_are_split_over_datagrams(self):
        self.loads.publish([summary("here", pool=f"pool-{n}", wait=n) for n in range(200)])
        chunks = self.loads.own_loads()
        self.assertEqual(sum(len(chunk.pools) for chunk in chunks), 200)
        codec = DatagramCodec("c", b"key")
        for chunk in chunks:
            codec.seal(Datagram(DatagramKind.HEARTBEAT, "n" * 128, loads=[chunk]))


class SmallPartsTest(unittest.TestCase):
    def test_digest_must_differ_twice_in_a_row(self):
        monitor = DigestMonitor()
        monitor.publish(1)
        monitor.hear("node", 2)
        monitor.hear("node", 1)
        monitor.hear("node", 2)
        self.assertIsNone(monitor.take())
        monitor.hear("node", 2)
        self.assertEqual(monitor.take(), "node")
        self.assertIsNone(monitor.take())

    def test_changes_in_a_storm_wait_for_the_pause_and_are_taken_together(self):
        self.assertEqual(pause_seconds(60.0), LONGEST_PAUSE_SECONDS)
        self.assertGreater(pause_seconds(0.01), 0.01)
        calls = []
        for pause, wanted in ((60.0, 1), (0.0, 2)):
            notifier = Notifier()
            self.addCleanup(notifier.stop)
            notifier.on_change(lambda: calls.append(1))
            calls.clear()
            with mock.patch.object(notifier_module, "pause_seconds", return_value=pause):
                notifier.start()
                for _ in range(2):
                    notifier.report_change()
                    notifier.report_change()
                    gevent.sleep(0.01)
            self.assertEqual(len(calls), wanted)

    def test_heartbeat_interval_grows_with_the_zone_within_bounds(self):
        intervals = [interval_seconds(count, 60) for count in range(0, 200, 10)]
        self.assertEqual(intervals, sorted(intervals))
        self.assertEqual(intervals[0], 1.0)
        self.assertEqual(intervals[-1], LONGEST_INTERVAL_SECONDS)
