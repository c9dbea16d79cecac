"""Servers that restart under the same id, and invalid server entries."""

import gevent

from runkeel.operators.client import OperatorClient
from runkeel_lab.users_platform.deployment import APPLICATION, COUNT_PREFIX
from tests.users_platform.deployment_case import DeploymentTestCase
from tests.users_platform.test_crashing_requests import CrashingRequestTest

ITEMS = 40


class CrashingRequestSameIdTest(CrashingRequestTest):
    """The same tests with servers that restart under their old id, so that their entries stay."""

    def setUp(self):
        super().setUp()
        self.plan.reuse_id = True


class RestartedServerTest(DeploymentTestCase):
    def setUp(self):
        self.deployment = self.start(edges=2, disks=1, engines=2, applications=1, metrics=True)
        self.deployment.crashes.reuse_id = True
        self.wait(lambda: all(self.node(name).follows_feed for name in ("edge-0", "edge-1")))
        self.sent = 0

    def node(self, name):
        return self.deployment.node(name).node

    def status(self, edge="edge-0"):
        self.sent += 1
        headers = {"Attempt-Id": f"count-{self.sent}", "Deadline-Ms": "1000"}
        response = self.deployment.call(edge, "POST", f"{COUNT_PREFIX}x", headers, b"rice")
        return response.status if response is not None else 0

    def restart(self, server):
        """Crash a server and return its new incarnation once it has started."""
        self.deployment.crash(server)
        self.wait(
            lambda: (
                server.next_incarnation is not None
                and server.next_incarnation.born_ms > server.born_ms
            )
        )
        return server.next_incarnation

    def known(self, server, name="edge-0"):
        state = self.node(name).directory.get(server.server_id)
        return state is not None and state.backend.start == str(server.born_ms)

    def test_restarted_application_serves_again(self):
        server = self.deployment.applications[0]
        self.assertEqual(self.status(), 200)
        self.deployment.crash(server)
        for _ in range(5):
            self.status()
        self.wait(
            lambda: server.next_incarnation is not None and self.known(server.next_incarnation)
        )
        self.assertEqual([self.status(), self.status("edge-1")], [200, 200])

    def test_restarted_engines_receive_items(self):
        """Guards against restarted engines that are still treated as crashed and get no items."""
        for engine in list(self.deployment.engines):
            self.restart(engine)
        items = [f"job-g{n // 4}-{n}" for n in range(ITEMS)]
        self.assertEqual(self.deployment.submit("edge-0", "job", items), 202)
        results = self.wait_for_results(self.deployment, "edge-0", "job", ITEMS)
        self.assertEqual({result["State"] for result in results}, {"completed"})
        for engine in self.deployment.engines:
            self.assertTrue(engine.runs, engine.server_id)

    def test_items_resume_elsewhere_when_their_engine_restarts(self):
        for engine in self.deployment.engines:
            engine.event_seconds = 0.05
        items = [f"job-g{n // 4}-{n}" for n in range(12)]
        self.assertEqual(self.deployment.submit("edge-0", "job", items), 202)
        engine = self.deployment.engines[0]
        self.wait(lambda: engine.running)
        self.restart(engine)
        results = self.wait_for_results(self.deployment, "edge-0", "job", 12)
        self.assertEqual({result["State"] for result in results}, {"completed"})

    def test_engine_restarted_with_an_older_version_is_updated(self):
        engine = self.deployment.engines[0]
        self.deployment.publish_version(2)
        self.wait(lambda: set(engine.versions.values()) == {2})
        engine.versions = dict.fromkeys(engine.versions, 1)
        restarted = self.restart(engine)
        self.wait(lambda: set(restarted.versions.values()) == {2})

    def test_server_with_an_invalid_entry_gets_no_new_requests(self):
        server = self.deployment.applications[0]
        objects = self.deployment.store.objects
        objects.put("servers", server.server_id, {**server.entry, "State": "paused"})
        objects.put("servers", "other", {**server.entry, "Slots": 1e400})
        self.wait(lambda: not self.node("edge-1").directory.of_service(APPLICATION))
        self.assertEqual(self.status("edge-1"), 503)
        rows = self.wait(lambda: self.unreadable_rows("edge-1"))
        reasons = {row["backend"]: row["reason"] for row in rows}
        self.assertEqual(reasons[server.server_id], "State: neither ready nor draining")
        self.wait(lambda: "other" in {row["backend"] for row in self.unreadable_rows("edge-1")})
        server.report_state()
        self.wait(lambda: self.node("edge-1").directory.of_service(APPLICATION))
        self.assertEqual(self.status("edge-1"), 200)

    def unreadable_rows(self, name):
        url = f"http://{self.deployment.node(name).metrics_address}"
        response = OperatorClient(url).send("show backends where unreadable = true").document
        return [dict(zip(response["columns"], row, strict=True)) for row in response["rows"]]

    def test_request_in_flight_at_a_server_with_an_invalid_entry_completes(self):
        server = self.deployment.applications[0]
        server.work_seconds = 0.5
        request = gevent.spawn(self.status)
        self.wait(lambda: server.running)
        self.deployment.store.objects.put("servers", server.server_id, None)
        self.wait(lambda: not self.node("edge-0").directory.of_service(APPLICATION))
        self.assertEqual(request.get(timeout=10.0), 200)
