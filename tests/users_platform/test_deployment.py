"""Plain requests and streams on the stand-in of the platform, and nodes cut from the store."""

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
from runkeel_lab.users_platform.servers import whole_text
from tests.users_platform.deployment_case import DeploymentTestCase


class PlainRequestTest(DeploymentTestCase):
    def count(self, deployment, request_id="r1", deadline="1500", edge="edge-0"):
        headers = {"Attempt-Id": request_id, "Deadline-Ms": deadline}
        return deployment.call(edge, "POST", f"{COUNT_PREFIX}x?shelf=1", headers, b"rice")

    def runs(self, deployment):
        return [run for server in deployment.applications for run in server.runs]

    def test_answer_is_the_servers(self):
        deployment = self.start()
        answer = self.count(deployment)
        self.assertEqual((answer.status, answer.body), (200, b"echo rice"))
        headers = {name.lower(): value for name, value in answer.headers}
        self.assertTrue(headers["server-stamp"].endswith(".r1"))
        self.assertEqual(headers["attempt-id"], "r1")
        self.assertLessEqual(int(self.runs(deployment)[0].deadline_ms), 1500)

    def test_no_route(self):
        deployment = self.start()
        answer = deployment.call("edge-0", "GET", "/nothing/", {"Attempt-Id": "r"})
        self.assertEqual(answer.status, 404)

    def test_lost_answers_are_hidden_from_the_client(self):
        deployment = self.start()
        deployment.applications[0].faults.lost_share = 1.0
        for number in range(6):
            answer = self.count(deployment, f"r{number}")
            self.assertEqual(answer.status, 200)

    def test_full_servers_refuse_with_a_time_to_come_back(self):
        deployment = self.start()
        for server in deployment.applications:
            server.faults.refused = True
        answer = self.count(deployment)
        headers = {name.lower(): value for name, value in answer.headers}
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(headers["retry-after"]), 0.0)
        self.assertEqual(self.runs(deployment), [])

    def test_slow_server_is_hedged(self):
        deployment = self.start()
        deployment.applications[0].faults.slow_factor = 200.0
        started = steady_seconds()
        for number in range(4):
            self.assertEqual(self.count(deployment, f"r{number}").status, 200)
        self.assertLess(steady_seconds() - started, 2.0)

    def test_deadline_is_answered_at_once(self):
        deployment = self.start()
        for server in deployment.applications:
            server.faults.slow_factor = 500.0
        started = steady_seconds()
        answer = self.count(deployment, deadline="300")
        self.assertEqual(answer.status, 504)
        self.assertLess(steady_seconds() - started, 0.8)

    def test_request_that_cannot_be_repeated_runs_once(self):
        deployment = self.start()
        for server in deployment.applications:
            server.faults.lost_share = 1.0
        headers = {"Attempt-Id": "once", "Deadline-Ms": "1500"}
        answer = deployment.call("edge-0", "POST", f"{RESERVE_PREFIX}x", headers, b"")
        self.assertEqual(answer.status, 502)
        self.assertEqual(len(self.runs(deployment)), 1)

    def test_refused_request_that_cannot_be_repeated_goes_elsewhere(self):
        deployment = self.start()
        deployment.applications[0].faults.refused = True
        for number in range(4):
            headers = {"Attempt-Id": f"n{number}", "Deadline-Ms": "1500"}
            answer = deployment.call("edge-0", "POST", f"{RESERVE_PREFIX}x", headers, b"")
            self.assertEqual(answer.status, 200)

    def test_dead_server_is_left(self):
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

    def test_new_configuration_is_in_force_and_an_older_one_is_not(self):
        deployment = self.start()
        added = route("added", "/added/", "idempotent", "ledger")
        deployment.configure(configuration(7, (added,)))
        self.wait(lambda: deployment.call("edge-1", "GET", "/added/x").status == 200, 2.0)
        deployment.configure(configuration(6))
        gevent.sleep(0.3)
        self.assertEqual(deployment.call("edge-1", "GET", "/added/x").status, 200)

    def test_client_that_leaves_ends_the_work(self):
        deployment = self.start()
        for server in deployment.applications:
            server.faults.slow_factor = 100.0
        answer = deployment.call(
            "edge-0", "POST", f"{COUNT_PREFIX}x", {"Attempt-Id": "g"}, b"", seconds=0.2
        )
        self.assertIsNone(answer)
        node = deployment.node("edge-0").node
        states = [node.directory.get(server.server_id) for server in deployment.applications]
        self.wait(lambda: not any(state.in_flight for state in states), 0.5)


class StreamTest(DeploymentTestCase):
    def stream(self, deployment, request_id):
        headers = {"Attempt-Id": request_id, "Deadline-Ms": "9000", "Model": "allocation"}
        return deployment.call("edge-0", "POST", f"{CHAT_PREFIX}x", headers, b"", seconds=9.0)

    def data(self, answer):
        lines = answer.body.decode().split("\n")
        return "\n".join(line.removeprefix("data: ") for line in lines if line.startswith("data"))

    def test_stream_is_relayed(self):
        deployment = self.start()
        answer = self.stream(deployment, "s1")
        self.assertEqual(self.data(answer), whole_text("s1"))

    def test_broken_stream_is_continued_at_another_engine(self):
        deployment = self.start()
        deployment.engines[0].faults.lost_share = 1.0
        for number in range(4):
            answer = self.stream(deployment, f"s{number}")
            self.assertEqual(self.data(answer), whole_text(f"s{number}"))
        resumed = [run for run in deployment.engines[1].runs if run.resumed_after]
        self.assertTrue(resumed)

    def test_second_answer_of_an_earlier_run_is_not_passed_on(self):
        deployment = self.start(engines=3)
        deployment.engines[0].faults.lost_share = 1.0
        deployment.engines[1].faults.stale_share = 1.0
        for number in range(4):
            answer = self.stream(deployment, f"t{number}")
            if answer is not None:
                self.assertEqual(self.data(answer), whole_text(f"t{number}"))

    def test_stream_that_cannot_be_continued_does_not_look_whole(self):
        deployment = self.start()
        for engine in deployment.engines:
            engine.faults.lost_share = 1.0
        self.assertIsNone(self.stream(deployment, "s9"))


class MuteWatchTest(DeploymentTestCase):
    """agreste hunt-b15a-15: watches whose answer was lost stayed mute for 27 s (DRAIN)."""

    def test_drain_is_noticed_by_nodes_with_mute_watches(self):
        deployment = self.start(applications=3)
        gevent.sleep(1.0)
        deployment.store.mute_watches("servers")
        server = deployment.applications[0]
        server.drain()

        def known_everywhere():
            nodes = [deployment.node(name).node for name in deployment.node_names]
            states = [node.directory.get(server.server_id) for node in nodes]
            return all(state.backend.draining for state in states)

        self.wait(known_everywhere, 6.0)

    def test_configuration_reaches_nodes_with_mute_watches(self):
        deployment = self.start()
        gevent.sleep(1.0)
        deployment.store.mute_watches("config")
        deployment.configure(configuration(9))
        nodes = [deployment.node(name).node for name in deployment.node_names]
        self.wait(lambda: all(node.routing.configuration.version == 9 for node in nodes), 6.0)

    def test_job_is_run_though_the_coordinators_watch_is_mute(self):
        deployment = self.start()
        gevent.sleep(1.0)
        deployment.store.mute_watches("runkeel-jobs")
        started = steady_seconds()
        self.assertEqual(deployment.submit("edge-0", "mute", ["mute-g0-0"]), 202)
        self.wait_for_results(deployment, "edge-0", "mute", 1)
        self.assertLess(steady_seconds() - started, 5.0)


class RefusedMachineTest(DeploymentTestCase):
    """The store refuses or ignores one machine while it serves the others."""

    def check_drain_is_noticed(self, disturb):
        deployment = self.start(applications=3)
        gevent.sleep(1.5)
        for name in deployment.edge_names:
            disturb(deployment.store_of(name))
        server = deployment.applications[0]
        server.drain()
        nodes = [deployment.node(name).node for name in deployment.edge_names]
        states = [node.directory.get(server.server_id) for node in nodes]
        self.wait(lambda: all(state.backend.draining for state in states), 1.8)
        deployment.configure(configuration(9))
        self.wait(lambda: all(node.routing.configuration.version == 9 for node in nodes), 1.8)

    def test_refused_machine_gets_the_news_from_its_peers(self):
        self.check_drain_is_noticed(lambda door: setattr(door, "refused", True))

    def test_ignored_machine_gets_the_news_from_its_peers(self):
        self.check_drain_is_noticed(lambda door: setattr(door, "silent", True))

    def test_machines_notice_a_drain_though_the_store_ignores_the_coordinator(self):
        deployment = self.start(applications=3, disks=1)
        gevent.sleep(1.5)
        (coordinator,) = deployment.coordinators()
        deployment.store_of(coordinator).silent = True
        server = deployment.applications[0]
        server.drain()
        nodes = [deployment.node(name).node for name in deployment.edge_names]
        states = [node.directory.get(server.server_id) for node in nodes]
        self.wait(lambda: all(state.backend.draining for state in states), 1.9)


if __name__ == "__main__":
    unittest.main()
