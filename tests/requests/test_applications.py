"""Requests to applications: from the entry's HTTP face to a back end and back."""

from __future__ import annotations

import json
import unittest

from runkeel.api.configuration import PriorityClassSpec, ServiceSpec
from runkeel.api.machines import MachineKind
from runkeel.errors import ErrorCode, RunkeelError, Verdict
from tests.requests.fakes import FakeApplication, FakeCluster, machine


class ClusterCase(unittest.TestCase):
    """Two nodes, each owning one back end of the service ``ledger``."""

    def setUp(self) -> None:
        self.cluster = FakeCluster(("node-a", "node-b"))
        self.cluster.configuration.services["ledger"] = ServiceSpec(max_in_flight_per_backend=2)
        self.cluster.configuration.classes["urgent"] = PriorityClassSpec(rank=1, contract_p99_ms=9)
        self.applications = {}
        for name, owner in (("app-a", "node-a"), ("app-b", "node-b")):
            application = FakeApplication()
            self.addCleanup(application.stop)
            self.applications[name] = application
            self.cluster.machines.add(
                machine(name, MachineKind.APPLICATION, "ledger", application.address), owner
            )
        self.node = self.cluster.nodes["node-a"]
        self.other = self.cluster.nodes["node-b"]
        self.cluster.start()
        self.addCleanup(self.cluster.stop)

    def runs(self) -> int:
        return sum(sum(app.runs.values()) for app in self.applications.values())

    def assert_fails(self, code: ErrorCode, verdict: Verdict, **arguments) -> RunkeelError:
        node = arguments.pop("node", self.node)
        with self.assertRaises(RunkeelError) as caught:
            node.call_service("ledger", **arguments)
        self.assertEqual((caught.exception.code, caught.exception.verdict), (code, verdict))
        return caught.exception


class PassThroughTest(ClusterCase):
    def test_caller_gets_own_answer(self) -> None:
        answers = [self.node.call_service("ledger", f"/lookup/{n}?x=1") for n in range(10)]
        for number, answer in enumerate(answers):
            content = json.loads(answer.body)
            self.assertEqual(content["path"], f"/lookup/{number}")
            self.assertIn(("X-Runkeel-Request-Id", content["request_id"]), answer.headers)
        self.assertEqual(self.runs(), 10)

    def test_both_owners_get_work(self) -> None:
        for _ in range(20):
            self.node.call_service("ledger")
        self.assertTrue(all(sum(app.runs.values()) for app in self.applications.values()))


if __name__ == "__main__":
    unittest.main()
