"""Deployment files, the plan of processes, and the links' rules."""

import json
import socket
import tempfile
import tomllib
import unittest
from pathlib import Path

from pydantic import ValidationError

from runkeel_lab.deployment import Deployment, load_deployment
from runkeel_lab.links import LinkRules
from runkeel_lab.plan import plan_deployment, to_toml
from runkeel_lab.processes import free_ports

EXAMPLES = Path(__file__).parents[2] / "examples"


class ExampleTest(unittest.TestCase):
    def test_food_bank_has_its_size_of_today(self):
        deployment = load_deployment(EXAMPLES / "food-bank.toml")
        self.assertEqual(
            [zone.name for zone in deployment.zones],
            ["recife-galpao", "caruaru-galpao", "petrolina-galpao"],
        )
        self.assertEqual([(m.name, m.engines) for m in deployment.models], [("allocation", 4)])
        self.assertEqual([(s.name, s.servers) for s in deployment.services], [("ledger", 3)])
        self.assertEqual(deployment.delay_ms("recife-galpao", "caruaru-galpao"), 0.5)
        self.assertEqual(deployment.client_delay_ms, 1.0)

    def test_clearing_desk_has_its_size_of_today(self):
        deployment = load_deployment(EXAMPLES / "clearing-desk.toml")
        self.assertEqual(
            [zone.name for zone in deployment.zones], ["hobart-a", "hobart-b", "kingston"]
        )
        self.assertEqual([(m.name, m.engines) for m in deployment.models], [("settlement", 5)])
        self.assertEqual([(s.name, s.servers) for s in deployment.services], [("clearing", 3)])
        self.assertEqual(deployment.delay_ms("hobart-a", "kingston"), 1.5)
        self.assertEqual(deployment.client_delay_ms, 3.0)


class DeploymentTest(unittest.TestCase):
    def test_unknown_keys_and_bad_specs_are_refused(self):
        zones = [{"name": "a"}]
        with self.assertRaises(ValidationError):
            Deployment.model_validate({"name": "x", "zones": zones, "zonez": 1})
        wrong = {"kind": "service", "name": "s", "spec": {"default_deadline_ms": -1}}
        with self.assertRaises(ValidationError):
            Deployment.model_validate({"name": "x", "zones": zones, "objects": [wrong]})

    def test_plan_spreads_back_ends_over_zones_with_distinct_ports(self):
        deployment = load_deployment(EXAMPLES / "food-bank.toml")
        with tempfile.TemporaryDirectory() as folder:
            plan = plan_deployment(deployment, Path(folder), seed=1)
        self.assertEqual(
            [engine.zone for engine in plan.engines],
            ["recife-galpao", "caruaru-galpao", "petrolina-galpao", "recife-galpao"],
        )
        addresses = [str(each.address) for each in plan.backends()]
        addresses += [str(a) for node in plan.nodes for a in (node.http, node.peer, node.gossip)]
        self.assertEqual(len(addresses), len(set(addresses)))
        listed = plan.machine_list.options["machines"]
        self.assertEqual(len(listed), 4 + 3 + 1 + 3)

    def test_inline_toml_reads_back(self):
        value = {"a": [1, 2.5, True], "b": {"c d": 'quote " and \\'}}
        self.assertEqual(tomllib.loads(f"value = {to_toml(value)}")["value"], value)


class FreePortsTest(unittest.TestCase):
    def test_distinct_free_and_out_of_the_way_of_outgoing_connections(self):
        ports = free_ports(50)
        self.assertEqual(len(set(ports)), 50)
        self.assertLess(max(ports), 32_768)
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", ports[0]))
            self.assertNotIn(ports[0], free_ports(200))


class LinkRulesTest(unittest.TestCase):
    def test_rules_are_read_back_and_replaced_whole(self):
        rules = LinkRules({("a", "b"): 1.5, ("b", "a"): 1.5}, frozenset({("a", "b")}))
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "links.json"
            rules.write(path)
            self.assertEqual(LinkRules.read(path), rules)
            self.assertEqual(list(Path(folder).iterdir()), [path])
            self.assertEqual(len(json.loads(path.read_text())["cuts"]), 1)
