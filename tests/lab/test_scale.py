"""Tests of scale runs: a small fleet keeps its promises, and the sums are right."""

import tempfile
import unittest
from pathlib import Path

from runkeel_lab.scale.counters import DATAGRAM_HEADER_BYTES, Traffic
from runkeel_lab.scale.fleet import Fleet, FleetOptions
from runkeel_lab.scale.layout import ScaleLayout, free_network
from runkeel_lab.scale.results import (
    NodeCost,
    Restarts,
    ScaleResult,
    Usage,
    cost_between,
    fit_slopes,
)
from runkeel_lab.scale.run import ScaleOptions, ScaleRun
from runkeel_lab.scale.spread import Change, SpreadLog
from runkeel_lab.scale.steps import holds


class SmallFleetTest(unittest.TestCase):
    def test_changes_weights_and_restarts(self):
        layout = ScaleLayout(nodes=6, engines=12, network=free_network())
        options = ScaleOptions(seconds=4.0, settle_seconds=4.0, storm=True)
        with (
            tempfile.TemporaryDirectory() as folder,
            Fleet(layout, FleetOptions(load_ms=100), Path(folder)) as fleet,
        ):
            result = ScaleRun(fleet, options, seed=1).measure()
        self.assertGreater(result.changes, 20)
        self.assertEqual(result.not_in_force, 0)
        self.assertEqual(result.real_lacking, 0)
        self.assertEqual((result.storm.count, result.storm.not_caught_up), (1, 0))
        self.assertIsNotNone(result.engines_on_new_version_s)
        self.assertTrue(holds(result))
        self.assertGreater(result.real.total_bytes_per_s, 0)


class SpreadLogTest(unittest.TestCase):
    def setUp(self):
        self.log = SpreadLog()
        self.change = Change("service/a", 2, 10.0)

    def test_last_node_counts(self):
        self.log.take("service/a", 2, "n1", 10.5)
        self.log.take("service/a", 2, "n2", 11.0)
        self.assertEqual(self.log.seconds_to_all(self.change, ["n1", "n2"]), 1.0)

    def test_later_generation_stands_for_an_earlier_one(self):
        self.log.take("service/a", 3, "n1", 12.0)
        self.assertEqual(self.log.seconds_to_all(self.change, ["n1"]), 2.0)

    def test_lacking_node_is_found(self):
        self.log.take("service/a", 2, "n1", 10.5)
        self.log.take("service/a", 1, "n2", 10.5)
        self.assertIsNone(self.log.seconds_to_all(self.change, ["n1", "n2"]))


class SumsTest(unittest.TestCase):
    def test_cost_is_per_node_and_second_with_headers(self):
        first = Usage(0.0, 1.0, 0, dict.fromkeys(map(str, Traffic), 0.0))
        counters = dict.fromkeys(map(str, Traffic), 40.0)
        cost = cost_between(first, Usage(2.0, 2.0, 8_000_000, counters), nodes=4)
        self.assertEqual((cost.cpu_percent, cost.rss_mb), (12.5, 2.0))
        self.assertEqual(cost.bytes_per_s[Traffic.PEER_SENT], 5.0)
        self.assertEqual(cost.bytes_per_s[Traffic.GOSSIP_SENT], 5.0 + 5 * DATAGRAM_HEADER_BYTES)

    def test_slopes_are_found(self):
        results = []
        for nodes, servers in ((10, 2), (10, 4), (30, 2), (30, 4)):
            result = ScaleResult(nodes, nodes * servers, 6, 1.0)
            value = 1.0 + 0.5 * nodes + 3.0 * servers
            result.hollow = NodeCost(value, 2.0, {}, 100.0)
            results.append(result)
        slope = next(each for each in fit_slopes(results) if each.quantity == "cpu_percent")
        self.assertAlmostEqual(slope.per_node, 0.5)
        self.assertAlmostEqual(slope.per_server, 3.0)
        self.assertAlmostEqual(slope.at(400, 10), 1.0 + 200 + 30)

    def test_a_node_that_did_not_catch_up_is_a_failure(self):
        result = ScaleResult(6, 12, 6, 1.0, engines_on_new_version_s=1.0)
        self.assertTrue(holds(result))
        result.storm = Restarts(count=2, not_caught_up=1)
        self.assertFalse(holds(result))
