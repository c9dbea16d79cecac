"""Tenants on the simulated platform: API keys, ownership of jobs, headers sent to servers."""

import json
import unittest

from loguru import logger

from runkeel_lab.users_platform.deployment import (
    COUNT_PREFIX,
    SCORE_PREFIX,
    configuration,
    key_header,
    tenant,
)
from tests.users_platform.deployment_case import DeploymentTestCase

PARISH_KEY = "key-of-the-parish-1"
PARISH_SECOND_KEY = "key-of-the-parish-2"
SCHOOL_KEY = "key-of-the-school-1"
KEYS = (PARISH_KEY, PARISH_SECOND_KEY, SCHOOL_KEY)
TENANTS = (
    tenant("parish", PARISH_KEY, PARISH_SECOND_KEY, priority=3),
    tenant("school", SCHOOL_KEY),
)


class TenantTest(DeploymentTestCase):
    def count(self, deployment, headers, request_id="r", prefix=COUNT_PREFIX):
        given = {"Attempt-Id": request_id, **headers}
        return deployment.call("edge-0", "POST", f"{prefix}x", given, b"b")

    def runs(self, deployment, request_id):
        servers = [*deployment.applications, *deployment.engines]
        return [run for one in servers for run in one.runs if run.request_id == request_id]

    def test_request_needs_a_known_key_and_is_forwarded_with_its_tenant(self):
        deployment = self.start(tenants=TENANTS)
        for headers in (
            {},
            {"Authorization": ""},
            {"Authorization": f"Basic {PARISH_KEY}"},
            key_header("unknown"),
        ):
            response = self.count(deployment, headers)
            self.assertEqual(response.status, 401, headers)
            self.assertEqual(json.loads(response.body)["code"], "unauthorized")
            self.assertEqual(json.loads(response.body)["verdict"], "not_run")
        self.assertEqual(self.runs(deployment, "r"), [])
        response = self.count(deployment, key_header(PARISH_SECOND_KEY), "known")
        self.assertEqual(response.status, 200)
        (run,) = self.runs(deployment, "known")
        self.assertEqual(run.headers["tenant"], "parish")
        self.assertNotIn("authorization", run.headers)

    def test_public_route_needs_no_key(self):
        deployment = self.start(tenants=TENANTS)
        response = self.count(deployment, {"Tenant": "school"}, "open", SCORE_PREFIX)
        self.assertEqual(response.status, 200)
        self.assertEqual(self.count(deployment, {}, "closed").status, 401)
        response = self.count(deployment, key_header(PARISH_KEY), "keyed", SCORE_PREFIX)
        self.assertEqual(response.status, 200)
        for request_id in ("open", "keyed"):
            (run,) = self.runs(deployment, request_id)
            self.assertNotIn("tenant", run.headers)
            self.assertNotIn("authorization", run.headers)

    def test_client_cannot_name_its_tenant(self):
        deployment = self.start(tenants=TENANTS)
        for number, name in enumerate(("Tenant", "tenant", "TENANT")):
            headers = {name: "school", **key_header(PARISH_KEY)}
            self.assertEqual(self.count(deployment, headers, f"n{number}").status, 200)
            (run,) = self.runs(deployment, f"n{number}")
            self.assertEqual(run.headers["tenant"], "parish")

    def test_items_run_for_the_jobs_tenant_regardless_of_their_headers(self):
        deployment = self.start(tenants=TENANTS)
        items = [f"t1-g{n // 4}-{n}" for n in range(8)]
        headers = {"tenant": "school", "Authorization": f"Bearer {SCHOOL_KEY}"}
        status = deployment.submit("edge-0", "t1", items, key=PARISH_KEY, item_headers=headers)
        self.assertEqual(status, 202)
        results = self.wait(
            lambda: (
                (read := deployment.results("edge-1", "t1", key=PARISH_SECOND_KEY)) is not None
                and len(read) == len(items)
                and read
            )
        )
        self.assertEqual({result["State"] for result in results}, {"completed"})
        for item in items:
            for run in self.runs(deployment, item):
                self.assertEqual(run.headers["tenant"], "parish")
                self.assertNotIn("authorization", run.headers)
                self.assertEqual(run.headers["priority-class"], "3")
            for run in self.runs(deployment, f"score-{item}"):
                self.assertNotIn("tenant", run.headers)

    def test_job_is_not_visible_to_another_tenant(self):
        deployment = self.start(tenants=TENANTS)
        items = [f"t2-g0-{n}" for n in range(4)]
        self.assertEqual(deployment.submit("edge-0", "t2", items, key=PARISH_KEY), 202)
        for edge in deployment.edge_names:
            # A node that has just started may not know all storage nodes yet.
            election = deployment.node(edge).node._election
            self.wait(lambda election=election: election.storage_nodes().complete)
        read = "/runkeel/lots/t2?AfterRevision=0"
        body = f"/runkeel/items/t2?Id={items[0]}"
        for edge in deployment.edge_names:
            for method, target in (("GET", read), ("GET", body), ("DELETE", "/runkeel/lots/t2")):
                other = deployment.call(edge, method, target, key_header(SCHOOL_KEY))
                anonymous = deployment.call(edge, method, target)
                absent = deployment.call(
                    edge, method, target.replace("t2", "none"), key_header(SCHOOL_KEY)
                )
                self.assertEqual((other.status, anonymous.status), (404, 401), target)
                self.assertEqual(other.body, absent.body)
        self.wait(lambda: len(deployment.results("edge-0", "t2", key=PARISH_KEY) or ()) == 4)
        # Once all results are read, nodes serve them from their caches.
        for edge in deployment.edge_names:
            self.assertEqual(len(deployment.results(edge, "t2", key=PARISH_KEY)), 4)
            self.assertIsNone(deployment.results(edge, "t2", key=SCHOOL_KEY))
        self.assertEqual(deployment.submit("edge-0", "t2", items, key=SCHOOL_KEY), 409)
        self.assertEqual(deployment.submit("edge-1", "t2", items, key=PARISH_SECOND_KEY), 202)

    def test_revoking_a_key_does_not_end_jobs(self):
        deployment = self.start(tenants=TENANTS)
        for engine in deployment.engines:
            engine.event_seconds = 0.03
        items = [f"t3-g0-{n}" for n in range(8)]
        self.assertEqual(deployment.submit("edge-0", "t3", items, key=PARISH_KEY), 202)
        changed = (tenant("parish", PARISH_SECOND_KEY), tenant("school", SCHOOL_KEY))
        deployment.configure(configuration(2, tenants=changed))
        self.wait(lambda: self.count(deployment, key_header(PARISH_KEY)).status == 401)
        self.wait(lambda: len(deployment.results("edge-0", "t3", key=PARISH_SECOND_KEY)) == 8)
        self.assertEqual(deployment.end("edge-0", "t3", key=PARISH_SECOND_KEY), 200)

    def test_each_request_of_a_connection_is_authenticated(self):
        deployment = self.start(tenants=TENANTS)
        self.assertEqual(self.count(deployment, key_header(SCHOOL_KEY)).status, 200)
        deployment.configure(configuration(2, tenants=(tenant("parish", PARISH_KEY),)))
        self.wait(lambda: self.count(deployment, key_header(SCHOOL_KEY)).status == 401)

    def test_items_keep_their_tenant_after_coordinator_failover(self):
        deployment = self.start(disks=2, tenants=TENANTS)
        for engine in deployment.engines:
            engine.event_seconds = 0.03
        items = [f"t4-g0-{n}" for n in range(16)]
        self.assertEqual(deployment.submit("edge-0", "t4", items, key=SCHOOL_KEY), 202)
        self.wait(lambda: any(engine.running for engine in deployment.engines))
        deployment.kill_node(deployment.coordinators()[0])
        self.wait(lambda: len(deployment.results("edge-0", "t4", key=SCHOOL_KEY) or ()) == 16)
        runs = [run for item in items for run in self.runs(deployment, item)]
        self.assertEqual({run.headers["tenant"] for run in runs}, {"school"})

    def test_no_key_is_logged_stored_or_cached(self):
        lines = []
        sink = logger.add(lambda line: lines.append(str(line)), level=0, serialize=True)
        self.addCleanup(logger.remove, sink)
        deployment = self.start(disks=2, tenants=TENANTS)
        items = [f"t5-g0-{n}" for n in range(4)]
        headers = {"Authorization": f"Bearer {PARISH_KEY}"}
        deployment.submit("edge-0", "t5", items, key=PARISH_KEY, item_headers=headers)
        self.wait(lambda: len(deployment.results("edge-1", "t5", key=PARISH_KEY) or ()) == 4)
        self.count(deployment, key_header(SCHOOL_KEY + "x"))
        stored = [
            json.dumps(one.content)
            for one in deployment.store.objects.everything()
            if one.kind != "config"
        ]
        cached = [
            json.dumps(document.content)
            for name in deployment.node_names
            for watcher in deployment.node(name).node._followed_watchers
            for document in watcher.documents.values()
        ]
        self.assertTrue(stored and cached and lines)
        for key in KEYS:
            for text in (*lines, *stored, *cached):
                self.assertNotIn(key, text)


if __name__ == "__main__":
    unittest.main()
