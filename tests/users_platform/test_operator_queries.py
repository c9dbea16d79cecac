"""Operators' queries and commands on nodes of the users' platform, sent with the ctl client."""

import contextlib
import io
import unittest

import gevent

from runkeel.api.usage import UsageSettings
from runkeel.errors import ErrorCode, RunkeelError, Verdict
from runkeel.operators.client import OperatorClient
from runkeel.operators.ctl import ExitCode, run_ctl
from runkeel.operators.fleet_commands import DRY_RUN
from runkeel_lab.users_platform.deployment import key_header, tenant
from tests.users_platform.deployment_case import DeploymentTestCase


class OperatorQueriesTest(DeploymentTestCase):
    def setUp(self):
        self.deployment = self.start(metrics=True)
        (self.coordinator,) = self.deployment.coordinators()

    def rows(self, text, node="edge-0"):
        response = OperatorClient(self.url(node)).send(text).document
        return [dict(zip(response["columns"], row, strict=True)) for row in response["rows"]]

    def url(self, node):
        return f"http://{self.deployment.node(node).metrics_address}"

    def test_node_table(self):
        self.wait(lambda: self.rows("show node")[0]["follows_feed"])
        (row,) = self.rows("show node")
        self.assertEqual((row["node"], row["configuration"]), ("edge-0", 1))
        self.assertEqual((row["coordinator"], row["coordinating"]), (self.coordinator, False))

    def test_backends_and_routes_tables(self):
        self.assertEqual(len(self.rows('show backends where service = "ledger"')), 2)
        (route,) = self.rows('show routes where prefix = "/reserve/"')
        self.assertEqual((route["kind"], route["attempts"]), ("not_repeatable", 3))

    def test_jobs_and_versions_tables_on_the_coordinator(self):
        self.deployment.publish_version(2)
        self.assertEqual(self.deployment.submit("edge-0", "job", ["job-g0-0"]), 202)
        query = 'show jobs where job = "job"'
        (job,) = self.wait(lambda: self.rows(query, self.coordinator))
        self.assertEqual((job["items"], job["ended"]), (1, False))
        versions = self.wait(lambda: self.rows("show versions", self.coordinator))
        self.assertEqual(versions, [{"model": "allocation", "version": 2}])
        self.assertEqual(self.rows(query), [])

    def test_query_of_an_unknown_table_suggests_a_table(self):
        with self.assertRaises(RunkeelError) as caught:
            self.rows("show backend")
        self.assertEqual(caught.exception.code, "bad_command")
        self.assertIn("backends", caught.exception.detail)

    def expect_rejection(self, text, node="edge-0"):
        with self.assertRaises(RunkeelError) as caught:
            OperatorClient(self.url(node)).send(text)
        self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)
        return caught.exception

    def test_forbidden_command_names_the_owner_of_the_object(self):
        for text, owner in (
            ("deploy model allocation version 3", "trainer"),
            ("drain backend a0", "server says itself"),
            ("set model allocation rollout_paused true", "operator's"),
        ):
            with self.subTest(text):
                error = self.expect_rejection(text)
                self.assertEqual(error.code, ErrorCode.FORBIDDEN)
                self.assertIn(owner, error.detail)

    def test_unknown_command_is_a_bad_command(self):
        self.assertEqual(self.expect_rejection("dance").code, ErrorCode.BAD_COMMAND)

    def test_stop_command_stops_only_the_node_that_receives_it(self):
        process = self.deployment.node("edge-1")
        client = OperatorClient(self.url("edge-1"))
        self.assertEqual(
            self.expect_rejection("stop node edge-0", "edge-1").code, ErrorCode.FORBIDDEN
        )
        response = client.send("stop node edge-1 --dry-run")
        self.assertEqual(response.document["outcome"], "would be accepted")
        self.assertFalse(process.stop_requested.is_set())
        self.assertEqual(client.send("stop node edge-1").document["outcome"], "accepted")
        self.assertTrue(process.stop_requested.is_set())

    def test_quarantined_request_is_listed_and_released(self):
        path = "/count/crash"
        plan = self.deployment.crashes
        plan.paths.add(path)
        headers = {"Attempt-Id": "crash", "Deadline-Ms": "1500"}
        quarantined_query = 'show quarantine where state = "held"'
        for _ in range(20):
            self.deployment.call("edge-0", "POST", path, headers, b"rice")
            gevent.sleep(0.3)
            if self.rows(quarantined_query):
                break
        (row,) = self.wait(lambda: self.rows(quarantined_query, "edge-1"))
        self.assertEqual((row["service"], row["ended"]), ("ledger", 3))
        plan.paths.clear()
        client = OperatorClient(self.url("edge-1"))
        command = f"release request {row['request']}"
        self.assertEqual(client.send(f"{command} --dry-run").document["outcome"], DRY_RUN)
        self.assertEqual(len(self.rows(quarantined_query)), 1)
        self.assertEqual(client.send(command).document["outcome"], "accepted")
        self.wait(lambda: not self.rows(quarantined_query))
        self.assertEqual(self.expect_rejection(command).code, ErrorCode.NOT_FOUND)
        gevent.sleep(1.0)
        response = self.deployment.call("edge-0", "POST", path, headers, b"rice")
        self.assertEqual(response.status, 200)

    def test_ctl_runs_a_query(self):
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = run_ctl("show versions", self.url(self.coordinator), "json")
        self.assertEqual(code, ExitCode.OK)


class TenantQueriesTest(DeploymentTestCase):
    def rows(self, text, node):
        url = f"http://{self.deployment.node(node).metrics_address}"
        response = OperatorClient(url).send(text).document
        return [dict(zip(response["columns"], row, strict=True)) for row in response["rows"]]

    def test_tenants_usage_and_kept_jobs_tables(self):
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
        headers = {"Attempt-Id": "q", **key_header("s")}
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
