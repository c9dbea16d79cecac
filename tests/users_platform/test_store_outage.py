"""Batch jobs during a store outage: accepted on storage nodes, run and stored afterwards."""

import json
import shutil
import unittest
from pathlib import Path

import gevent

from runkeel_lab.users_platform.servers import complete_output, event_count
from tests.users_platform.deployment_case import DeploymentTestCase


class StoreOutageTest(DeploymentTestCase):
    def items(self, job_id, count=8):
        return [f"{job_id}-g{n // 4}-{n}" for n in range(count)]

    def start_with_known_storage(self, **sizes):
        """Start a deployment and wait until the edge nodes know all storage nodes."""
        deployment = self.start(**sizes)
        disks = len(deployment.node_names) - len(deployment.edge_names)
        nodes = [deployment.node(name).node for name in deployment.edge_names]
        self.wait(lambda: all(len(one._election.storage_nodes().nodes) >= disks for one in nodes))
        return deployment

    def check_results(self, deployment, job_id, items):
        results = self.wait_for_results(deployment, "edge-1", job_id, len(items))
        self.assertEqual(sorted(result["Id"] for result in results), sorted(items))
        for result in results:
            self.assertEqual(result["Text"], complete_output(result["Id"]))

    def runs_of(self, deployment, items):
        return [run for one in deployment.engines for run in one.runs if run.request_id in items]

    def test_job_is_accepted_and_run_while_the_store_is_down(self):
        deployment = self.start_with_known_storage(disks=3)
        deployment.store.refused = True
        gevent.sleep(0.5)
        items = self.items("o1")
        self.assertEqual(deployment.submit("edge-0", "o1", items), 202)
        self.wait(lambda: len(self.runs_of(deployment, items)) == len(items))
        self.assertEqual(deployment.submit("edge-1", "o1", items), 202)

        def status():
            response = deployment.call("edge-1", "GET", "/runkeel/lots/o1?AfterRevision=0")
            if response.status == 200:
                self.assertEqual(json.loads(response.body)["Results"], [])
            return response.status

        # After a while results are unknown: a partitioned node may have stored some.
        self.wait(lambda: status() == 503)
        deployment.store.refused = False
        self.check_results(deployment, "o1", items)
        self.assertEqual(deployment.end("edge-1", "o1"), 200)

    def test_accepted_job_survives_restart_of_all_nodes_and_loss_of_a_disk(self):
        deployment = self.start_with_known_storage(disks=3)
        deployment.store.refused = True
        gevent.sleep(0.5)
        items = self.items("o2")
        self.assertEqual(deployment.submit("edge-0", "o2", items), 202)
        for name in deployment.node_names:
            deployment.kill_node(name)
        shutil.rmtree(Path(deployment._disks.name) / "disk-0")
        for name in deployment.node_names:
            deployment.start_node(name)
        gevent.sleep(0.5)
        deployment.store.refused = False
        self.check_results(deployment, "o2", items)

    def test_job_is_not_accepted_with_too_few_storage_nodes(self):
        deployment = self.start_with_known_storage(disks=3)
        coordinator = deployment.coordinators()[0]
        others = [name for name in deployment.node_names if name.startswith("disk")]
        others.remove(coordinator)
        for name in others:
            deployment.kill_node(name)
        deployment.store.refused = True
        gevent.sleep(0.5)
        items = self.items("o3")
        status = deployment.submit("edge-0", "o3", items)
        # One storage node has the job, so that it may still run.
        self.assertIn(status, (502, 504))

    def test_refused_job_does_not_run(self):
        deployment = self.start(disks=1, tolerated_losses=1)
        deployment.store.refused = True
        gevent.sleep(0.5)
        items = self.items("o4")
        self.assertEqual(deployment.submit("edge-0", "o4", items), 503)
        deployment.store.refused = False
        gevent.sleep(1.0)
        self.assertEqual(self.runs_of(deployment, items), [])
        self.assertIsNone(deployment.results("edge-0", "o4"))

    def test_items_and_jobs_continue_without_store_and_coordinator(self):
        """Guards against jobs that stop when the coordinator is lost during a store outage."""
        deployment = self.start_with_known_storage(disks=3, engines=2)
        for engine in deployment.engines:
            engine.event_seconds = 0.05
        items = [f"o6-g{n}-{n}" for n in range(200) if event_count(f"o6-g{n}-{n}") > 40][:3]
        self.assertEqual(deployment.submit("edge-0", "o6", items), 202)
        self.wait(lambda: len(self.runs_of(deployment, items)) == len(items))
        gevent.sleep(1.5)
        deployment.store.refused = True
        gevent.sleep(1.0)
        deployment.kill_node(deployment.coordinators()[0])
        self.wait(lambda: len(self.runs_of(deployment, items)) >= 2 * len(items))
        later = self.items("o7", 4)
        self.assertEqual(deployment.submit("edge-0", "o7", later), 202)
        self.wait(lambda: len(self.runs_of(deployment, later)) == len(later))
        self.assertEqual(deployment.coordinators(), [])
        runs = len(deployment.engines[0].runs) + len(deployment.engines[1].runs)
        deployment.store.refused = False
        self.check_results(deployment, "o6", items)
        self.check_results(deployment, "o7", later)
        resumed = [run for run in self.runs_of(deployment, items) if run.resumed_after]
        self.assertEqual({run.request_id for run in resumed}, set(items))
        # Confirming the term in the store must not restart any item.
        self.assertEqual(len(deployment.engines[0].runs) + len(deployment.engines[1].runs), runs)

    def test_edge_node_refused_by_the_store_accepts_through_others(self):
        deployment = self.start_with_known_storage(disks=3)
        deployment.store_endpoint("edge-0").refused = True
        gevent.sleep(0.5)
        items = self.items("o5")
        self.assertEqual(deployment.submit("edge-0", "o5", items), 202)
        self.check_results(deployment, "o5", items)


if __name__ == "__main__":
    unittest.main()
