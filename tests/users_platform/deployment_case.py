"""Base class of tests that run a complete deployment."""

import unittest

import gevent

from runkeel.clock import steady_seconds
from runkeel_lab.users_platform.deployment import Deployment

WAIT_TIMEOUT_SECONDS = 30.0


class DeploymentTestCase(unittest.TestCase):
    def start(self, **sizes):
        deployment = Deployment(**sizes)
        self.addCleanup(deployment.stop)
        deployment.start()
        deployment.wait_ready()
        return deployment

    def wait(self, condition, seconds=WAIT_TIMEOUT_SECONDS):
        deadline = steady_seconds() + seconds
        while not (value := condition()):
            self.assertLess(steady_seconds(), deadline, "timed out waiting for the condition")
            gevent.sleep(0.02)
        return value

    def wait_for_results(self, deployment, edge, job_id, count):
        """Wait until all results of a job are available and return them."""

        def read():
            results = deployment.results(edge, job_id)
            return results if results is not None and len(results) == count else None

        return self.wait(read)
