"""Plain requests and streams on the simulated platform, and nodes that lose the store."""

import unittest

import gevent

from runkeel.clock import steady_seconds
from runkeel_lab.users_platform.deployment import (
    CHAT_PREFIX,
    COUNT_PREFIX,
    RESERVE_PREFIX,
    configuration,
    route,
)
from runkeel_lab.users_platform.servers import complete_output
from tests.users_platform.deployment_case import DeploymentTestCase


class PlainRequestTest(DeploymentTestCase):
    def count(self, deployment, request_id="r1", deadline="1500", edge="edge-0"):
        headers = {"Attempt-Id": request_id, "Deadline-Ms": deadline}
        return deployment.call(edge, "POST", f"{COUNT_PREFIX}x?shelf=1", headers, b"rice")

    def runs(self, deployment):
        return [run for server in deployment.applications for run in server.runs]

    def test_response_of_the_server_is_forwarded(self):
        deployment = self.start()
        response = self.count(deployment)
        self.assertEqual((response.status, response.body), (200, b"echo rice"))
        headers = {name.lower(): value for name, value in response.headers}
        self.assertTrue(headers["server-stamp"].endswith(".r1"))
        self.assertEqual(headers["attempt-id"], "r1")
        self.assertLessEqual(int(self.runs(deployment)[0].deadline_ms), 1500)

    def test_no_route(self):
        deployment = self.start()
        response = deployment.call("edge-0", "GET", "/nothing/", {"Attempt-Id": "r"})
        self.assertEqual(response.status, 404)

    def test_lost_responses_are_retried(self):
        deployment = self.start()
        deployment.applications[0].faults.lost_share = 1.0
        for number in range(6):
            response = self.count(deployment, f"r{number}")
            self.assertEqual(response.status, 200)

    def test_full_servers_give_503_with_retry_after(self):
        deployment = self.start()
        for server in deployment.applications:
            server.faults.refused = True
        response = self.count(deployment)
        headers = {name.lower(): value for name, value in response.headers}
        self.assertEqual(response.status, 503)
        self.assertGreater(float(headers["retry-after"]), 0.0)
        self.assertEqual(self.runs(deployment), [])

    def test_slow_server_is_hedged(self):
        deployment = self.start()
        deployment.applications[0].faults.slow_factor = 200.0
        started = steady_seconds()
        for number in range(4):
            self.assertEqual(self.count(deployment, f"r{number}").status, 200)
        self.assertLess(steady_seconds() - started, 2.0)

    def test_expired_deadline_gives_504_promptly(self):
        deployment = self.start()
        for server in deployment.applications:
            server.faults.slow_factor = 500.0
        started = steady_seconds()
        response = self.count(deployment, deadline="300")
        self.assertEqual(response.status, 504)
        self.assertLess(steady_seconds() - started, 0.8)

    def test_non_repeatable_request_runs_once(self):
        deployment = self.start()
        for server in deployment.applications:
            server.faults.lost_share = 1.0
        headers = {"Attempt-Id": "once", "Deadline-Ms": "1500"}
        response = deployment.call("edge-0", "POST", f"{RESERVE_PREFIX}x", headers, b"")
        self.assertEqual(response.status, 502)
        self.assertEqual(len(self.runs(deployment)), 1)

    def test_refused_non_repeatable_request_is_sent_to_another_server(self):
        deployment = self.start()
        deployment.applications[0].faults.refused = True
        for number in range(4):
            headers = {"Attempt-Id": f"n{number}", "Deadline-Ms": "1500"}
            response = deployment.call("edge-0", "POST", f"{RESERVE_PREFIX}x", headers, b"")
            self.assertEqual(response.status, 200)

    def test_unreachable_server_is_avoided(self):
        deployment = self.start()
        deployment.applications[0]._server.stop(timeout=0)
        for number in range(6):
            self.assertEqual(self.count(deployment, f"r{number}").status, 200)

    def test_draining_server_gets_no_new_work(self):
        deployment = self.start(applications=3)
        deployment.applications[0].drain()
        gevent.sleep(2.0)
        for number in range(9):
            self.assertEqual(self.count(deployment, f"r{number}").status, 200)
        self.assertEqual(deployment.applications[0].runs, [])

    def test_newer_configuration_applies_and_an_older_one_does_not(self):
        deployment = self.start()
        added = route("added", "/added/", "idempotent", "ledger")
        deployment.configure(configuration(7, (added,)))
        self.wait(lambda: deployment.call("edge-1", "GET", "/added/x").status == 200, 2.0)
        deployment.configure(configuration(6))
        gevent.sleep(0.3)
        self.assertEqual(deployment.call("edge-1", "GET", "/added/x").status, 200)

    def test_client_disconnect_cancels_the_request(self):
        deployment = self.start()
        for server in deployment.applications:
            server.faults.slow_factor = 100.0
        response = deployment.call(
            "edge-0", "POST", f"{COUNT_PREFIX}x", {"Attempt-Id": "g"}, b"", seconds=0.2
        )
        self.assertIsNone(response)
        node = deployment.node("edge-0").node
        states = [node.directory.get(server.server_id) for server in deployment.applications]
        self.wait(lambda: not any(state.in_flight for state in states), 0.5)


class StreamTest(DeploymentTestCase):
    def stream(self, deployment, request_id):
        headers = {"Attempt-Id": request_id, "Deadline-Ms": "9000", "Model": "allocation"}
        return deployment.call("edge-0", "POST", f"{CHAT_PREFIX}x", headers, b"", seconds=9.0)

    def data(self, response):
        lines = response.body.decode().split("\n")
        return "\n".join(line.removeprefix("data: ") for line in lines if line.startswith("data"))

    def test_stream_is_forwarded(self):
        deployment = self.start()
        response = self.stream(deployment, "s1")
        self.assertEqual(self.data(response), complete_output("s1"))

    def test_broken_stream_resumes_at_another_engine(self):
        deployment = self.start()
        deployment.engines[0].faults.lost_share = 1.0
        for number in range(4):
            response = self.stream(deployment, f"s{number}")
            self.assertEqual(self.data(response), complete_output(f"s{number}"))
        resumed = [run for run in deployment.engines[1].runs if run.resumed_after]
        self.assertTrue(resumed)

    def test_late_events_of_an_earlier_run_are_not_forwarded(self):
        deployment = self.start(engines=3)
        deployment.engines[0].faults.lost_share = 1.0
        deployment.engines[1].faults.stale_share = 1.0
        for number in range(4):
            response = self.stream(deployment, f"t{number}")
            if response is not None:
                self.assertEqual(self.data(response), complete_output(f"t{number}"))

    def test_stream_that_cannot_be_resumed_is_not_ended_cleanly(self):
        deployment = self.start()
        for engine in deployment.engines:
            engine.faults.lost_share = 1.0
        self.assertIsNone(self.stream(deployment, "s9"))


class SilentWatchTest(DeploymentTestCase):
    """Guards against nodes that miss changes for long after the response to a watch is lost."""

    def test_drain_reaches_nodes_with_silent_watches(self):
        deployment = self.start(applications=3)
        gevent.sleep(1.0)
        deployment.store.hang_watches("servers")
        server = deployment.applications[0]
        server.drain()

        def all_nodes_see_drain():
            nodes = [deployment.node(name).node for name in deployment.node_names]
            states = [node.directory.get(server.server_id) for node in nodes]
            return all(state.backend.draining for state in states)

        self.wait(all_nodes_see_drain, 6.0)

    def test_configuration_reaches_nodes_with_silent_watches(self):
        deployment = self.start()
        gevent.sleep(1.0)
        deployment.store.hang_watches("config")
        deployment.configure(configuration(9))
        nodes = [deployment.node(name).node for name in deployment.node_names]
        self.wait(lambda: all(node.routing.configuration.version == 9 for node in nodes), 6.0)

    def test_job_runs_while_the_coordinators_watch_is_silent(self):
        deployment = self.start()
        gevent.sleep(1.0)
        deployment.store.hang_watches("runkeel-jobs")
        started = steady_seconds()
        self.assertEqual(deployment.submit("edge-0", "mute", ["mute-g0-0"]), 202)
        self.wait_for_results(deployment, "edge-0", "mute", 1)
        self.assertLess(steady_seconds() - started, 5.0)


class NodeWithoutStoreTest(DeploymentTestCase):
    """The store refuses or ignores some nodes while it serves the others."""

    def check_drain_and_configuration_arrive(self, inject_fault):
        deployment = self.start(applications=3)
        gevent.sleep(1.5)
        for name in deployment.edge_names:
            inject_fault(deployment.store_endpoint(name))
        server = deployment.applications[0]
        server.drain()
        nodes = [deployment.node(name).node for name in deployment.edge_names]
        states = [node.directory.get(server.server_id) for node in nodes]
        self.wait(lambda: all(state.backend.draining for state in states), 1.8)
        deployment.configure(configuration(9))
        self.wait(lambda: all(node.routing.configuration.version == 9 for node in nodes), 1.8)

    def test_node_refused_by_the_store_gets_updates_from_peers(self):
        self.check_drain_and_configuration_arrive(
            lambda store_access: setattr(store_access, "refused", True)
        )

    def test_node_ignored_by_the_store_gets_updates_from_peers(self):
        self.check_drain_and_configuration_arrive(
            lambda store_access: setattr(store_access, "silent", True)
        )

    def test_drain_reaches_nodes_while_the_store_ignores_the_coordinator(self):
        deployment = self.start(applications=3, disks=1)
        gevent.sleep(1.5)
        (coordinator,) = deployment.coordinators()
        deployment.store_endpoint(coordinator).silent = True
        server = deployment.applications[0]
        server.drain()
        nodes = [deployment.node(name).node for name in deployment.edge_names]
        states = [node.directory.get(server.server_id) for node in nodes]
        self.wait(lambda: all(state.backend.draining for state in states), 1.9)


if __name__ == "__main__":
    unittest.main()
