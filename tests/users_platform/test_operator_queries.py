"""The operators' queries on a node of the users' platform, through the command line's client."""

import contextlib
import io
import unittest

import gevent

from runkeel.api.duties import UsageSettings
from runkeel.errors import ErrorCode, RunkeelError, Verdict
from runkeel.operators.client import OperatorClient
from runkeel.operators.ctl import ExitCode, run_ctl
from runkeel.operators.fleet_commands import DRY_RUN
from runkeel_lab.users_platform.deployment import tenant, with_key
from tests.users_platform.deployment_case import DeploymentTestCase


class OperatorQueriesTest(DeploymentTestCase):
    def setUp(self):
        self.deployment = self.start(metrics=True)
        (self.coordinator,) = self.deployment.coordinators()

    def rows(self, text, node="edge-0"):
        answer = OperatorClient(self.url(node)).send(text).document
        return [dict(zip(answer["columns"], row, strict=True)) for row in answer["rows"]]

    def url(self, node):
        return f"http://{self.deployment.node(node).metrics_address}"

    def test_what_a_node_believes(self):
        self.wait(lambda: self.rows("show node")[0]["follows_feed"])
        (row,) = self.rows("show node")
        self.assertEqual((row["node"], row["configuration"]), ("edge-0", 1))
        self.assertEqual((row["coordinator"], row["coordinating"]), (self.coordinator, False))

    def test_servers_and_routes(self):
        self.assertEqual(len(self.rows('show backends where service = "ledger"')), 2)
        (route,) = self.rows('show routes where prefix = "/reserve/"')
        self.assertEqual((route["kind"], route["attempts"]), ("not_repeatable", 3))

    def test_jobs_and_versions_at_the_coordinator(self):
        self.deployment.name_version(2)
        self.assertEqual(self.deployment.submit("edge-0", "job", ["job-g0-0"]), 202)
        query = 'show jobs where job = "job"'
        (job,) = self.wait(lambda: self.rows(query, self.coordinator))
        self.assertEqual((job["items"], job["ended"]), (1, False))
        versions = self.wait(lambda: self.rows("show versions", self.coordinator))
        self.assertEqual(versions, [{"model": "allocation", "version": 2}])
        self.assertEqual(self.rows(query), [])

    def test_faulty_query_is_refused_with_a_hint(self):
        with self.assertRaises(RunkeelError) as caught:
            self.rows("show backend")
        self.assertEqual(caught.exception.code, "bad_command")
        self.assertIn("backends", caught.exception.detail)

    def refusal(self, text, node="edge-0"):
        with self.assertRaises(RunkeelError) as caught:
            OperatorClient(self.url(node)).send(text)
        self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)
        return caught.exception

    def test_commands_that_would_write_what_is_somebody_elses_name_the_owner(self):
        for text, owner in (
            ("deploy model allocation version 3", "trainer"),
            ("drain backend a0", "server says itself"),
            ("set model allocation rollout_paused true", "operator's"),
        ):
            with self.subTest(text):
                error = self.refusal(text)
                self.assertEqual(error.code, ErrorCode.FORBIDDEN)
                self.assertIn(owner, error.detail)

    def test_command_that_is_not_understood(self):
        self.assertEqual(self.refusal("dance").code, ErrorCode.BAD_COMMAND)

    def test_node_stops_as_planned_when_it_is_told_itself(self):
        process = self.deployment.node("edge-1")
        client = OperatorClient(self.url("edge-1"))
        self.assertEqual(self.refusal("stop node edge-0", "edge-1").code, ErrorCode.FORBIDDEN)
        answer = client.send("stop node edge-1 --dry-run")
        self.assertEqual(answer.document["outcome"], "would be accepted")
        self.assertFalse(process.stop_requested.is_set())
        self.assertEqual(client.send("stop node edge-1").document["outcome"], "accepted")
        self.assertTrue(process.stop_requested.is_set())

    def test_request_that_is_held_back_is_shown_and_let_go(self):
        path = "/count/crash"
        plan = self.deployment.crashes
        plan.paths.add(path)
        headers = {"Attempt-Id": "crash", "Deadline-Ms": "1500"}
        held = 'show quarantine where state = "held"'
        for _ in range(20):
            self.deployment.call("edge-0", "POST", path, headers, b"rice")
            gevent.sleep(0.3)
            if self.rows(held):
                break
        (row,) = self.wait(lambda: self.rows(held, "edge-1"))
        self.assertEqual((row["service"], row["ended"]), ("ledger", 3))
        plan.paths.clear()
        client = OperatorClient(self.url("edge-1"))
        command = f"release request {row['request']}"
        self.assertEqual(client.send(f"{command} --dry-run").document["outcome"], DRY_RUN)
        self.assertEqual(len(self.rows(held)), 1)
        self.assertEqual(client.send(command).document["outcome"], "accepted")
        self.wait(lambda: not self.rows(held))
        self.assertEqual(self.refusal(command).code, ErrorCode.NOT_FOUND)
        gevent.sleep(1.0)
        answer = self.deployment.call("edge-0", "POST", path, headers, b"rice")
        self.assertEqual(answer.status, 200)

    def test_command_line(self):
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = run_ctl("show versions", self.url(self.coordinator), "json")
        self.assertEqual(code, ExitCode.OK)


class TenantQueriesTest(DeploymentTestCase):
    def rows(self, text, node):
        url = f"http://{self.deployment.node(node).metrics_address}"
        answer = OperatorClient(url).send(text).document
        return [dict(zip(answer["columns"], row, strict=True)) for row in answer["rows"]]

    def test_tenants_usage_and_kept_jobs(self):
        tenants = (tenant("parish", "p1", "p2", priority=2), tenant("school", "s"))
        settings = UsageSettings(1.0, 4.0)
        self.deployment = self.start(metrics=True, disks=3, tenants=tenants, usage=settings)
        (coordinator,) = self.deployment.coordinators()
        self.assertEqual(
            self.rows("show tenants", "edge-0"),
            [
                {"tenant": "parish", "rank": 2, "keys": 2},
                {"tenant": "school", "rank": None, "keys": 1},
            ],
        )
        headers = {"Attempt-Id": "q", **with_key("s")}
        self.assertEqual(
            self.deployment.call("edge-0", "POST", "/count/x", headers, b"b").status, 200
        )
        query = "show usage where requests > 0"
        (row,) = self.wait(lambda: self.rows(query, coordinator))
        self.assertEqual((row["requests"], row["tenants"]), (1, 1))
        self.wait(lambda: self.rows(f'{query} and state = "reported"', coordinator))
        self.assertEqual(self.rows("show usage", "edge-0"), [])
        self.deployment.store.refused = True
        nodes = [self.deployment.node(name).node for name in self.deployment.edge_names]
        self.wait(lambda: all(len(one._election.storage_nodes().nodes) >= 3 for one in nodes))
        self.assertEqual(self.deployment.submit("edge-0", "k", ["k-g0-0"], key="p1"), 202)
        (kept,) = self.wait(lambda: self.rows("show kept_jobs", coordinator))
        self.assertEqual((kept["job"], kept["items"]), ("k", 1))


if __name__ == "__main__":
    unittest.main()
