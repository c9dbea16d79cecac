"""Batch jobs through an outage of the store: accepted on disks, run, handed on, listed."""

import json
import shutil
import unittest
from pathlib import Path

import gevent

from runkeel_lab.users_platform.servers import event_count, whole_text
from tests.users_platform.deployment_case import DeploymentTestCase


class StoreOutageTest(DeploymentTestCase):
    def items(self, job_id, count=8):
        return [f"{job_id}-g{n // 4}-{n}" for n in range(count)]

    def start_known(self, **sizes):
        """Start, and wait until the edge nodes know the machines that keep jobs."""
        deployment = self.start(**sizes)
        disks = len(deployment.node_names) - len(deployment.edge_names)
        nodes = [deployment.node(name).node for name in deployment.edge_names]
        self.wait(lambda: all(len(one._election.keepers().keepers) >= disks for one in nodes))
        return deployment

    def check_whole(self, deployment, job_id, items):
        results = self.wait_for_results(deployment, "edge-1", job_id, len(items))
        self.assertEqual(sorted(result["Id"] for result in results), sorted(items))
        for result in results:
            self.assertEqual(result["Text"], whole_text(result["Id"]))

    def ran(self, deployment, items):
        return [run for one in deployment.engines for run in one.runs if run.request_id in items]

    def test_job_is_accepted_and_run_while_the_store_is_down(self):
        deployment = self.start_known(disks=3)
        deployment.store.refused = True
        gevent.sleep(0.5)
        items = self.items("o1")
        self.assertEqual(deployment.submit("edge-0", "o1", items), 202)
        self.wait(lambda: len(self.ran(deployment, items)) == len(items))
        self.assertEqual(deployment.submit("edge-1", "o1", items), 202)

        def status():
            answer = deployment.call("edge-1", "GET", "/runkeel/lots/o1?AfterRevision=0")
            if answer.status == 200:
                self.assertEqual(json.loads(answer.body)["Results"], [])
            return answer.status

        # Soon it can't be told whether anything is listed: behind a cut somebody may have done it.
        self.wait(lambda: status() == 503)
        deployment.store.refused = False
        self.check_whole(deployment, "o1", items)
        self.assertEqual(deployment.end("edge-1", "o1"), 200)

    def test_accepted_job_outlives_all_processes_and_a_disk(self):
        deployment = self.start_known(disks=3)
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
        self.check_whole(deployment, "o2", items)

    def test_job_is_refused_where_too_few_disks_are_left(self):
        deployment = self.start_known(disks=3)
        coordinator = deployment.coordinators()[0]
        others = [name for name in deployment.node_names if name.startswith("disk")]
        others.remove(coordinator)
        for name in others:
            deployment.kill_node(name)
        deployment.store.refused = True
        gevent.sleep(0.5)
        items = self.items("o3")
        status = deployment.submit("edge-0", "o3", items)
        # One disk has it: that it won't run can't be promised.
        self.assertIn(status, (502, 504))

    def test_refused_job_does_not_run(self):
        deployment = self.start(disks=1, tolerated_losses=1)
        deployment.store.refused = True
        gevent.sleep(0.5)
        items = self.items("o4")
        self.assertEqual(deployment.submit("edge-0", "o4", items), 503)
        deployment.store.refused = False
        gevent.sleep(1.0)
        self.assertEqual(self.ran(deployment, items), [])
        self.assertIsNone(deployment.results("edge-0", "o4"))

    def test_items_go_on_and_jobs_are_taken_while_store_and_coordinator_are_lost(self):
        """shifted trouble-3: the coordinator was replaced during an outage of the store."""
        deployment = self.start_known(disks=3, engines=2)
        for engine in deployment.engines:
            engine.event_seconds = 0.05
        items = [f"o6-g{n}-{n}" for n in range(200) if event_count(f"o6-g{n}-{n}") > 40][:3]
        self.assertEqual(deployment.submit("edge-0", "o6", items), 202)
        self.wait(lambda: len(self.ran(deployment, items)) == len(items))
        gevent.sleep(1.5)
        deployment.store.refused = True
        gevent.sleep(1.0)
        deployment.kill_node(deployment.coordinators()[0])
        self.wait(lambda: len(self.ran(deployment, items)) >= 2 * len(items))
        later = self.items("o7", 4)
        self.assertEqual(deployment.submit("edge-0", "o7", later), 202)
        self.wait(lambda: len(self.ran(deployment, later)) == len(later))
        self.assertEqual(deployment.coordinators(), [])
        runs = len(deployment.engines[0].runs) + len(deployment.engines[1].runs)
        deployment.store.refused = False
        self.check_whole(deployment, "o6", items)
        self.check_whole(deployment, "o7", later)
        resumed = [run for run in self.ran(deployment, items) if run.resumed_after]
        self.assertEqual({run.request_id for run in resumed}, set(items))
        # The term that the store confirmed began nothing anew.
        self.assertEqual(len(deployment.engines[0].runs) + len(deployment.engines[1].runs), runs)

    def test_edge_node_that_the_store_refuses_accepts_by_others(self):
        deployment = self.start_known(disks=3)
        deployment.store_of("edge-0").refused = True
        gevent.sleep(0.5)
        items = self.items("o5")
        self.assertEqual(deployment.submit("edge-0", "o5", items), 202)
        self.check_whole(deployment, "o5", items)


if __name__ == "__main__":
    unittest.main()
