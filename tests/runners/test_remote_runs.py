"""Runs of batch items at runners, on a simulated deployment of the platform."""

import unittest
from unittest import mock

import gevent

from runkeel import coordinator_term
from runkeel.clock import steady_seconds
from runkeel.runners import pool
from runkeel_lab.users_platform.deployment import Deployment
from runkeel_lab.users_platform.servers import complete_output, event_count

WAIT_TIMEOUT_SECONDS = 30.0


class RemoteRunsTest(unittest.TestCase):
    def setUp(self):
        for module in (pool, coordinator_term):
            limit = mock.patch.object(module, "MAX_LOCAL_RUNS", 0)
            limit.start()
            self.addCleanup(limit.stop)

    def start(self, **sizes):
        deployment = Deployment(**sizes)
        self.addCleanup(deployment.stop)
        deployment.start()
        deployment.wait_ready()
        # Nodes are invited once more items are open than the coordinator runs itself.
        deployment.node(self.coordinator(deployment)).node._term.runners.set_open_items(1)
        self.wait(lambda: len(self.runners(deployment)) >= 2)
        return deployment

    def wait(self, condition, seconds=WAIT_TIMEOUT_SECONDS):
        deadline = steady_seconds() + seconds
        while not (value := condition()):
            self.assertLess(steady_seconds(), deadline, "condition not met in time")
            gevent.sleep(0.02)
        return value

    def coordinator(self, deployment):
        (name,) = self.wait(deployment.coordinators)
        return name

    def runners(self, deployment):
        term = deployment.node(self.coordinator(deployment)).node._term
        return list(term.runners._runners)

    def hosted(self, deployment):
        """Return the number of runs at each node."""
        nodes = {name: deployment.node(name) for name in deployment.node_names}
        return {name: one.node._runner.hosted_runs for name, one in nodes.items() if one}

    def long_items(self, job_id, count):
        names = (f"{job_id}-g{n}-{n}" for n in range(200))
        return [name for name in names if event_count(name) > 40][:count]

    def slow_down(self, deployment, seconds=0.05):
        for engine in deployment.engines:
            engine.event_seconds = seconds

    def check_job(self, deployment, job_id, items):
        def read():
            results = deployment.results("edge-0", job_id)
            return results if results is not None and len(results) == len(items) else None

        for result in self.wait(read):
            self.assertEqual(result["State"], "completed")
            self.assertEqual(result["Text"], complete_output(result["Id"]))
            self.assertTrue(result["Score"].endswith(f".score-{result['Id']}"))

    def test_other_nodes_run_the_items(self):
        deployment = self.start(edges=3)
        self.slow_down(deployment)
        items = self.long_items("j1", 8)
        deployment.submit("edge-0", "j1", items)
        self.wait(lambda: sum(self.hosted(deployment).values()) == len(items))
        hosted = self.hosted(deployment)
        self.assertEqual(hosted[self.coordinator(deployment)], 0)
        self.check_job(deployment, "j1", items)
        self.wait(lambda: not sum(self.hosted(deployment).values()))

    def test_items_resume_elsewhere_when_their_runner_dies(self):
        deployment = self.start(edges=3)
        self.slow_down(deployment, 0.1)
        items = self.long_items("j2", 8)
        deployment.submit("edge-0", "j2", items)
        self.wait(lambda: sum(self.hosted(deployment).values()) == len(items))
        gevent.sleep(1.0)
        hosted = self.hosted(deployment)
        killed_node = max(
            (name for name in hosted if name != "edge-0"), key=lambda name: hosted[name]
        )
        self.assertGreater(hosted[killed_node], 0)
        deployment.kill_node(killed_node)
        self.check_job(deployment, "j2", items)
        resumed = [run for engine in deployment.engines for run in engine.runs if run.resumed_after]
        self.assertEqual(len(resumed), hosted[killed_node])

    def test_runs_of_an_ended_job_end(self):
        deployment = self.start(edges=3)
        self.slow_down(deployment, 0.2)
        deployment.submit("edge-0", "j3", self.long_items("j3", 8))
        self.wait(lambda: sum(engine.running for engine in deployment.engines) == 8)
        self.assertEqual(deployment.end("edge-0", "j3"), 200)
        self.wait(lambda: not any(engine.running for engine in deployment.engines), 1.0)
        self.wait(lambda: not sum(self.hosted(deployment).values()), 1.0)

    def test_next_coordinator_resumes_items_once_no_other_node_can_run_them(self):
        deployment = self.start(edges=3, disks=2)
        self.slow_down(deployment, 0.1)
        items = self.long_items("j4", 6)
        deployment.submit("edge-0", "j4", items)
        self.wait(lambda: sum(engine.running for engine in deployment.engines) == len(items))
        gevent.sleep(1.5)
        deployment.kill_node(self.coordinator(deployment))
        before = {run for engine in deployment.engines for run in engine.runs}
        self.wait(lambda: not any(engine.running for engine in deployment.engines))
        self.assertEqual({run for engine in deployment.engines for run in engine.runs}, before)
        self.check_job(deployment, "j4", items)
        resumed = [run for engine in deployment.engines for run in engine.runs if run.resumed_after]
        self.assertEqual({run.request_id for run in resumed}, set(items))

    def test_new_version_reaches_engines_with_runs_at_runners(self):
        deployment = self.start(edges=3)
        self.slow_down(deployment)
        items = self.long_items("j5", 8)
        deployment.submit("edge-0", "j5", items)
        self.wait(lambda: sum(self.hosted(deployment).values()))
        deployment.publish_version(2)
        self.wait(lambda: all(e.versions["allocation"] == 2 for e in deployment.engines))
        self.check_job(deployment, "j5", items)


if __name__ == "__main__":
    unittest.main()
