"""Batch jobs on the simulated platform: results, versions, failover, lost machines."""

import unittest

import gevent

from runkeel.clock import steady_seconds
from runkeel.coordination.election import STORAGE_NODES_SETTLE_SECONDS
from runkeel_lab.users_platform.servers import complete_output, event_count
from tests.users_platform.deployment_case import DeploymentTestCase


class BatchJobTest(DeploymentTestCase):
    def items(self, job_id, count):
        return [f"{job_id}-g{n // 4}-{n}" for n in range(count)]

    def check_results(self, results, items):
        self.assertEqual(sorted(result["Id"] for result in results), sorted(items))
        for result in results:
            self.assertEqual(result["State"], "completed")
            self.assertEqual(result["Text"], complete_output(result["Id"]))
            self.assertTrue(result["Score"].endswith(f".score-{result['Id']}"))
            self.assertTrue(result["WeightVersions"])

    def test_all_nodes_return_the_same_results_of_a_job(self):
        deployment = self.start()
        items = self.items("j1", 24)
        self.assertEqual(deployment.submit("edge-0", "j1", items), 202)
        results = self.wait_for_results(deployment, "edge-1", "j1", len(items))
        self.check_results(results, items)
        self.assertEqual(deployment.results("edge-0", "j1"), results)
        self.assertEqual(deployment.results("edge-0", "j1", 20), results[20:])
        self.assertEqual(deployment.submit("edge-1", "j1", items), 202)
        self.assertEqual(deployment.end("edge-1", "j1"), 200)
        self.assertEqual(deployment.end("edge-0", "j1"), 200)
        self.assertEqual(deployment.results("edge-0", "j1"), results)

    def test_unknown_job_and_item(self):
        deployment = self.start()

        def status():
            response = deployment.call("edge-0", "GET", "/runkeel/lots/none?AfterRevision=0")
            return response.status

        # A node that has just started may not know all storage nodes yet.
        self.wait(lambda: status() != 503, seconds=2 * STORAGE_NODES_SETTLE_SECONDS)
        self.assertEqual(status(), 404)
        self.assertEqual(deployment.end("edge-0", "none"), 404)
        deployment.submit("edge-0", "j", self.items("j", 1))
        response = deployment.call("edge-0", "GET", "/runkeel/items/j?Id=other")
        self.assertEqual(response.status, 404)

    def test_body_of_an_item(self):
        deployment = self.start()
        deployment.submit("edge-0", "j", self.items("j", 2))
        response = deployment.call("edge-1", "GET", "/runkeel/items/j?Id=j-g0-1")
        self.assertEqual(response.body, b"body j-g0-1")

    def test_job_with_items_larger_than_a_stored_document_is_run_and_listed(self):
        deployment = self.start()
        items = self.items("j", 2)
        self.assertEqual(deployment.submit("edge-0", "j", items, padding_bytes=900_000), 202)
        results = self.wait_for_results(deployment, "edge-1", "j", len(items))
        self.check_results(results, items)

    def test_malformed_job_is_refused(self):
        deployment = self.start()
        for body in (b"", b"{", b'{"Items": 5}', b'{"Items": [{"Path": "/x"}]}'):
            response = deployment.call("edge-0", "POST", "/draft/x", {"Attempt-Id": "b"}, body)
            self.assertEqual(response.status, 400, body)
        target = "/runkeel/lots/x?AfterRevision=many"
        self.assertEqual(deployment.call("edge-0", "GET", target).status, 400)

    def test_failing_engines_and_broken_connections(self):
        deployment = self.start(engines=3)
        for engine in deployment.engines:
            engine.faults.lost_share = 0.3
            engine.faults.failed_share = 0.1
        items = self.items("j2", 24)
        deployment.submit("edge-0", "j2", items)
        results = self.wait_for_results(deployment, "edge-0", "j2", len(items))
        completed = [result for result in results if result["State"] == "completed"]
        self.check_results(completed, [result["Id"] for result in completed])

    def test_late_events_of_an_earlier_run_are_ignored(self):
        """Guards against outputs of resumed items that contain an event twice."""
        deployment = self.start(engines=3)
        for engine in deployment.engines:
            engine.faults.lost_share = 0.4
            engine.faults.stale_share = 0.5
        items = self.items("j12", 24)
        deployment.submit("edge-0", "j12", items)
        results = self.wait_for_results(deployment, "edge-0", "j12", len(items))
        self.check_results(results, items)

    def test_engines_load_the_published_version_and_results_list_it(self):
        deployment = self.start()
        deployment.publish_version(2)
        self.wait(lambda: all(e.versions["allocation"] == 2 for e in deployment.engines))
        items = self.items("j3", 8)
        deployment.submit("edge-0", "j3", items, min_version=2)
        results = self.wait_for_results(deployment, "edge-0", "j3", len(items))
        self.check_results(results, items)
        self.assertEqual({tuple(result["WeightVersions"]) for result in results}, {(2,)})

    def test_results_list_a_version_change_during_generation(self):
        deployment = self.start(engines=1)
        deployment.engines[0].event_seconds = 0.05
        items = [f"j4-g{n}-{n}" for n in range(60) if event_count(f"j4-g{n}-{n}") > 20][:2]
        deployment.submit("edge-0", "j4", items)
        self.wait(lambda: deployment.engines[0].running)
        deployment.publish_version(2)
        results = self.wait_for_results(deployment, "edge-0", "j4", len(items))
        self.check_results(results, items)
        self.assertIn([1, 2], [result["WeightVersions"] for result in results])

    def test_deleted_job_is_not_sent_to_engines(self):
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

    def test_coordinator_failover_during_a_job(self):
        deployment = self.start(disks=2)
        for engine in deployment.engines:
            engine.event_seconds = 0.03
        items = self.items("j6", 32)
        deployment.submit("edge-0", "j6", items)
        results_before = self.wait(lambda: deployment.results("edge-0", "j6"))
        deployment.kill_node(deployment.coordinators()[0])
        results = self.wait_for_results(deployment, "edge-1", "j6", len(items))
        self.check_results(results, items)
        self.assertEqual(results[: len(results_before)], results_before)

    def test_new_coordinator_resumes_long_items(self):
        """Guards against items that start over after a failover and miss their deadline."""
        deployment = self.start(disks=2, engines=2)
        for engine in deployment.engines:
            engine.event_seconds = 0.05
        items = [f"j11-g{n}-{n}" for n in range(200) if event_count(f"j11-g{n}-{n}") > 40][:3]
        deployment.submit("edge-0", "j11", items)
        gevent.sleep(1.5)
        deployment.kill_node(deployment.coordinators()[0])
        results = self.wait_for_results(deployment, "edge-1", "j11", len(items))
        self.check_results(results, items)
        resumed = [run for engine in deployment.engines for run in engine.runs if run.resumed_after]
        self.assertEqual({run.request_id for run in resumed}, set(items))

    def test_long_items_resume_after_all_storage_nodes_restart(self):
        """Guards against the loss of partial outputs when all storage nodes lose power."""
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
        results = self.wait_for_results(deployment, "edge-1", "j12", len(items))
        self.check_results(results, items)
        resumed = [run for engine in deployment.engines for run in engine.runs if run.resumed_after]
        self.assertEqual({run.request_id for run in resumed}, set(items))

    def test_accepted_job_survives_restart_of_all_nodes(self):
        deployment = self.start()
        items = self.items("j7", 12)
        self.assertEqual(deployment.submit("edge-0", "j7", items), 202)
        for name in deployment.node_names:
            deployment.kill_node(name)
        for name in deployment.node_names:
            deployment.start_node(name)
        results = self.wait_for_results(deployment, "edge-1", "j7", len(items))
        self.check_results(results, items)

    def test_store_that_loses_responses_and_refuses(self):
        deployment = self.start()
        deployment.store.lost_share = 0.4
        items = self.items("j8", 16)
        self.wait(lambda: deployment.submit("edge-0", "j8", items) == 202)
        deployment.store.lost_share = 0.0
        deployment.store.refused = True
        gevent.sleep(0.5)
        # The only storage node keeps a hint until the store is available again.
        self.assertEqual(deployment.submit("edge-0", "j9", self.items("j9", 1)), 202)
        deployment.store.refused = False
        self.check_results(
            self.wait_for_results(deployment, "edge-1", "j9", 1), self.items("j9", 1)
        )
        results = self.wait_for_results(deployment, "edge-1", "j8", len(items))
        self.check_results(results, items)

    def test_items_move_away_from_a_slow_engine(self):
        deployment = self.start(engines=2)
        deployment.engines[0].faults.slow_factor = 30.0
        items = [f"j10-g{n}-{n}" for n in range(200) if event_count(f"j10-g{n}-{n}") > 20][:4]
        started = steady_seconds()
        deployment.submit("edge-0", "j10", items)
        results = self.wait_for_results(deployment, "edge-0", "j10", len(items))
        self.check_results(results, items)
        self.assertLess(steady_seconds() - started, 0.3 * 30)

    def test_one_order_holder_at_a_time(self):
        deployment = self.start(disks=2, order_pause_seconds=0.5)
        deployment.publish_version(2)
        self.wait(lambda: all(e.versions["allocation"] == 2 for e in deployment.engines))
        deployment.kill_node(deployment.coordinators()[0])
        deployment.publish_version(3)
        self.wait(lambda: all(e.versions["allocation"] == 3 for e in deployment.engines))
        for engine in deployment.engines:
            for before, after in zip(engine.orders, engine.orders[1:], strict=False):
                if before.holder != after.holder:
                    self.assertGreater(after.token, before.token)
                    self.assertGreater(after.received_at - before.received_at, 0.5)


if __name__ == "__main__":
    unittest.main()
