"""Common to the tests of the whole path: starts a deployment and waits for what it does."""

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
            self.assertLess(steady_seconds(), deadline, "waited too long")
            gevent.sleep(0.02)
        return value

    def whole_job(self, deployment, edge, job_id, count):
        """Wait until all of a job's results are read; returns them."""

        def read():
            results = deployment.results(edge, job_id)
            return results if results is not None and len(results) == count else None

        return self.wait(read)
