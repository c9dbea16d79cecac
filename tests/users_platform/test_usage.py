"""Usage reports of a complete deployment."""

import time
import unittest

from runkeel.api.usage import UsageSettings
from runkeel_lab.users_platform.deployment import COUNT_PREFIX, key_header, tenant
from tests.users_platform.deployment_case import DeploymentTestCase

TENANTS = (tenant("parish", "p"), tenant("school", "s"))
SETTINGS = UsageSettings(1.0, 4.0)


class UsageTest(DeploymentTestCase):
    def send(self, deployment, edge, key, number):
        headers = {"Attempt-Id": f"u{number}", **key_header(key)}
        response = deployment.call(edge, "POST", f"{COUNT_PREFIX}x", headers, b"b")
        return response is not None and response.status == 200

    def reported(self, deployment, tenant_name):
        windows = {one.window: one.counts for one in deployment.duties.reports}
        return sum(counts.get(tenant_name, 0) for counts in windows.values())

    def test_each_request_is_reported_once(self):
        deployment = self.start(tenants=TENANTS, usage=SETTINGS)
        for number in range(20):
            self.assertTrue(self.send(deployment, f"edge-{number % 2}", "p", number))
        self.assertFalse(self.send(deployment, "edge-0", "unknown", 100))
        self.assertTrue(self.send(deployment, "edge-0", "s", 101))
        self.wait(lambda: self.reported(deployment, "parish") == 20)
        self.wait(lambda: self.reported(deployment, "school") == 1)
        self.assertEqual(deployment.duties.problems(), [])
        for one in deployment.duties.reports:
            delay_seconds = one.received_at - (one.window + 1) * SETTINGS.window_seconds
            self.assertLess(delay_seconds, SETTINGS.late_seconds)

    def test_counts_survive_loss_of_the_coordinator_and_the_counting_node(self):
        deployment = self.start(disks=2, tenants=TENANTS, usage=SETTINGS)
        for number in range(12):
            self.assertTrue(self.send(deployment, "edge-0", "p", number))
        # Long enough for the counts to reach the coordinator and the store.
        time.sleep(0.9)
        deployment.kill_node("edge-0")
        deployment.kill_node(deployment.coordinators()[0])
        deployment.start_node("edge-0")
        self.wait(lambda: self.reported(deployment, "parish") == 12)
        self.assertEqual(deployment.duties.problems(), [])

    def test_lost_responses_of_the_platform(self):
        deployment = self.start(disks=2, tenants=TENANTS, usage=SETTINGS)
        deployment.duties.lost = True
        for number in range(8):
            self.assertTrue(self.send(deployment, "edge-0", "p", number))
        self.wait(lambda: self.reported(deployment, "parish") == 8)
        deployment.kill_node(deployment.coordinators()[0])
        self.wait(lambda: len({one.holder for one in deployment.duties.reports}) == 2)
        deployment.duties.lost = False
        self.assertEqual(deployment.duties.problems(), [])
        self.assertEqual(self.reported(deployment, "parish"), 8)


if __name__ == "__main__":
    unittest.main()
