"""The whole path on the stand-in of the platform: clients, trainers, failures."""

import time
import unittest

import gevent

from runkeel_lab.users_platform.deployment import (
    CHAT_PREFIX,
    COUNT_PREFIX,
    RESERVE_PREFIX,
    Deployment,
    configuration,
    route,
)
from runkeel_lab.users_platform.servers import event_count, whole_text

LONGEST_WAIT_SECONDS = 30.0


class DeploymentTestCase(unittest.TestCase):
    def start(self, **sizes):
        deployment = Deployment(**sizes)
        self.addCleanup(deployment.stop)
        deployment.start()
        deployment.wait_ready()
        return deployment

    def wait(self, condition, seconds=LONGEST_WAIT_SECONDS):
        deadline = time.monotonic() + seconds
        while not (value := condition()):
            self.assertLess(time.monotonic(), deadline, "waited too long")
            gevent.sleep(0.02)
        return value

    def whole_job(self, deployment, edge, job_id, count):
        """Wait until all of a job's results are read; returns them."""

        def read():
            results = deployment.results(edge, job_id)
            return results if results is not None and len(results) == count else None

        return self.wait(read)


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
        started = time.monotonic()
        for number in range(4):
            self.assertEqual(self.count(deployment, f"r{number}").status, 200)
        self.assertLess(time.monotonic() - started, 2.0)

    def test_deadline_is_answered_at_once(self):
        deployment = self.start()
        for server in deployment.applications:
            server.faults.slow_factor = 500.0
        started = time.monotonic()
        answer = self.count(deployment, deadline="300")
        self.assertEqual(answer.status, 504)
        self.assertLess(time.monotonic() - started, 0.8)

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
        started = time.monotonic()
        self.assertEqual(deployment.submit("edge-0", "mute", ["mute-g0-0"]), 202)
        self.whole_job(deployment, "edge-0", "mute", 1)
        self.assertLess(time.monotonic() - started, 5.0)


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


class BatchJobTest(DeploymentTestCase):
    def items(self, job_id, count):
        return [f"{job_id}-g{n // 4}-{n}" for n in range(count)]

    def check_results(self, results, items):
        self.assertEqual(sorted(result["Id"] for result in results), sorted(items))
        for result in results:
            self.assertEqual(result["State"], "completed")
            self.assertEqual(result["Text"], whole_text(result["Id"]))
            self.assertTrue(result["Score"].endswith(f".score-{result['Id']}"))
            self.assertTrue(result["WeightVersions"])

    def test_job_is_run_scored_and_listed_alike_everywhere(self):
        deployment = self.start()
        items = self.items("j1", 24)
        self.assertEqual(deployment.submit("edge-0", "j1", items), 202)
        results = self.whole_job(deployment, "edge-1", "j1", len(items))
        self.check_results(results, items)
        self.assertEqual(deployment.results("edge-0", "j1"), results)
        self.assertEqual(deployment.results("edge-0", "j1", 20), results[20:])
        self.assertEqual(deployment.submit("edge-1", "j1", items), 202)
        self.assertEqual(deployment.end("edge-1", "j1"), 200)
        self.assertEqual(deployment.end("edge-0", "j1"), 200)
        self.assertEqual(deployment.results("edge-0", "j1"), results)

    def test_unknown_job_and_item(self):
        deployment = self.start()
        answer = deployment.call("edge-0", "GET", "/runkeel/lots/none?AfterRevision=0")
        self.assertEqual(answer.status, 404)
        self.assertEqual(deployment.end("edge-0", "none"), 404)
        deployment.submit("edge-0", "j", self.items("j", 1))
        answer = deployment.call("edge-0", "GET", "/runkeel/items/j?Id=other")
        self.assertEqual(answer.status, 404)

    def test_body_of_an_item(self):
        deployment = self.start()
        deployment.submit("edge-0", "j", self.items("j", 2))
        answer = deployment.call("edge-1", "GET", "/runkeel/items/j?Id=j-g0-1")
        self.assertEqual(answer.body, b"body j-g0-1")

    def test_malformed_job_is_refused(self):
        deployment = self.start()
        for body in (b"", b"{", b'{"Items": 5}', b'{"Items": [{"Path": "/x"}]}'):
            answer = deployment.call("edge-0", "POST", "/draft/x", {"Attempt-Id": "b"}, body)
            self.assertEqual(answer.status, 400, body)
        target = "/runkeel/lots/x?AfterRevision=many"
        self.assertEqual(deployment.call("edge-0", "GET", target).status, 400)

    def test_engines_that_fail_and_break_off(self):
        deployment = self.start(engines=3)
        for engine in deployment.engines:
            engine.faults.lost_share = 0.3
            engine.faults.failed_share = 0.1
        items = self.items("j2", 24)
        deployment.submit("edge-0", "j2", items)
        results = self.whole_job(deployment, "edge-0", "j2", len(items))
        completed = [result for result in results if result["State"] == "completed"]
        self.check_results(completed, [result["Id"] for result in completed])

    def test_second_answer_of_an_earlier_run_is_not_taken(self):
        """agreste hunt-cbe5-19: a piece stood twice in the text of a continued item (ORDER)."""
        deployment = self.start(engines=3)
        for engine in deployment.engines:
            engine.faults.lost_share = 0.4
            engine.faults.stale_share = 0.5
        items = self.items("j12", 24)
        deployment.submit("edge-0", "j12", items)
        results = self.whole_job(deployment, "edge-0", "j12", len(items))
        self.check_results(results, items)

    def test_versions_are_moved_and_told(self):
        deployment = self.start()
        deployment.name_version(2)
        self.wait(lambda: all(e.versions["allocation"] == 2 for e in deployment.engines))
        items = self.items("j3", 8)
        deployment.submit("edge-0", "j3", items, minimum_version=2)
        results = self.whole_job(deployment, "edge-0", "j3", len(items))
        self.check_results(results, items)
        self.assertEqual({tuple(result["WeightVersions"]) for result in results}, {(2,)})

    def test_version_that_changes_midway_is_told(self):
        deployment = self.start(engines=1)
        deployment.engines[0].event_seconds = 0.05
        items = [f"j4-g{n}-{n}" for n in range(60) if event_count(f"j4-g{n}-{n}") > 20][:2]
        deployment.submit("edge-0", "j4", items)
        self.wait(lambda: deployment.engines[0].running)
        deployment.name_version(2)
        results = self.whole_job(deployment, "edge-0", "j4", len(items))
        self.check_results(results, items)
        self.assertIn([1, 2], [result["WeightVersions"] for result in results])

    def test_ended_job_reaches_no_engine_any_more(self):
        deployment = self.start()
        for engine in deployment.engines:
            engine.event_seconds = 0.1
        deployment.submit("edge-0", "j5", self.items("j5", 40))
        self.wait(lambda: any(engine.running for engine in deployment.engines))
        self.assertEqual(deployment.end("edge-1", "j5"), 200)
        self.wait(lambda: not any(engine.running for engine in deployment.engines), 1.0)
        before = sum(len(engine.runs) for engine in deployment.engines)
        gevent.sleep(0.6)
        self.assertEqual(sum(len(engine.runs) for engine in deployment.engines), before)

    def test_coordinator_dies_in_the_middle_of_a_job(self):
        deployment = self.start(disks=2)
        for engine in deployment.engines:
            engine.event_seconds = 0.03
        items = self.items("j6", 32)
        deployment.submit("edge-0", "j6", items)
        seen = self.wait(lambda: deployment.results("edge-0", "j6"))
        deployment.kill_node(deployment.coordinators()[0])
        results = self.whole_job(deployment, "edge-1", "j6", len(items))
        self.check_results(results, items)
        self.assertEqual(results[: len(seen)], seen)

    def test_successor_continues_long_items(self):
        """sirca trouble-1: the longest items ran anew after a take-over, past their deadline."""
        deployment = self.start(disks=2, engines=2)
        for engine in deployment.engines:
            engine.event_seconds = 0.05
        items = [f"j11-g{n}-{n}" for n in range(200) if event_count(f"j11-g{n}-{n}") > 40][:3]
        deployment.submit("edge-0", "j11", items)
        gevent.sleep(1.5)
        deployment.kill_node(deployment.coordinators()[0])
        results = self.whole_job(deployment, "edge-1", "j11", len(items))
        self.check_results(results, items)
        resumed = [run for engine in deployment.engines for run in engine.runs if run.resumed_after]
        self.assertEqual({run.request_id for run in resumed}, set(items))

    def test_long_items_are_continued_though_all_likely_coordinators_died(self):
        """agreste-grown scale-2: all storage machines lost power, and the texts with them."""
        deployment = self.start(disks=4, engines=2)
        disks = [name for name in deployment.node_names if name not in deployment.edge_names]
        for engine in deployment.engines:
            engine.event_seconds = 0.05
        items = [f"j12-g{n}-{n}" for n in range(200) if event_count(f"j12-g{n}-{n}") > 40][:3]
        deployment.submit("edge-0", "j12", items)
        gevent.sleep(1.5)
        for name in disks:
            deployment.kill_node(name)
        for name in disks:
            deployment.start_node(name)
        results = self.whole_job(deployment, "edge-1", "j12", len(items))
        self.check_results(results, items)
        resumed = [run for engine in deployment.engines for run in engine.runs if run.resumed_after]
        self.assertEqual({run.request_id for run in resumed}, set(items))

    def test_everything_dies_after_the_acceptance(self):
        deployment = self.start()
        items = self.items("j7", 12)
        self.assertEqual(deployment.submit("edge-0", "j7", items), 202)
        for name in deployment.node_names:
            deployment.kill_node(name)
        for name in deployment.node_names:
            deployment.start_node(name)
        results = self.whole_job(deployment, "edge-1", "j7", len(items))
        self.check_results(results, items)

    def test_store_that_loses_answers_and_refuses(self):
        deployment = self.start()
        deployment.store.lost_share = 0.4
        items = self.items("j8", 16)
        self.wait(lambda: deployment.submit("edge-0", "j8", items) == 202)
        # A refusal whose own answer is lost would rightly not be told as "not run".
        deployment.store.lost_share = 0.0
        deployment.store.refused = True
        gevent.sleep(0.5)
        self.assertEqual(deployment.submit("edge-0", "j9", self.items("j9", 1)), 503)
        deployment.store.refused = False
        results = self.whole_job(deployment, "edge-1", "j8", len(items))
        self.check_results(results, items)

    def test_items_leave_a_slow_engine(self):
        deployment = self.start(engines=2)
        deployment.engines[0].faults.slow_factor = 30.0
        items = [f"j10-g{n}-{n}" for n in range(200) if event_count(f"j10-g{n}-{n}") > 20][:4]
        started = time.monotonic()
        deployment.submit("edge-0", "j10", items)
        results = self.whole_job(deployment, "edge-0", "j10", len(items))
        self.check_results(results, items)
        self.assertLess(time.monotonic() - started, 0.3 * 30)

    def test_orders_come_from_one_holder_at_a_time(self):
        deployment = self.start(disks=2, order_pause_seconds=0.5)
        deployment.name_version(2)
        self.wait(lambda: all(e.versions["allocation"] == 2 for e in deployment.engines))
        deployment.kill_node(deployment.coordinators()[0])
        deployment.name_version(3)
        self.wait(lambda: all(e.versions["allocation"] == 3 for e in deployment.engines))
        for engine in deployment.engines:
            for before, after in zip(engine.orders, engine.orders[1:], strict=False):
                if before.holder != after.holder:
                    self.assertGreater(after.token, before.token)
                    self.assertGreater(after.sent_at - before.sent_at, 0.5)


if __name__ == "__main__":
    unittest.main()
