"""Servers whose entries expired during a store outage are used again after it.

A node that saw the expiry itself must not drop servers that the coordinator kept throughout.
"""

import unittest

import gevent

from runkeel.fleet_node import EXPIRED_BACKEND_GRACE_SECONDS
from runkeel.state.observed_store import MIN_OUTAGE_SECONDS
from runkeel_lab.users_platform.deployment import APPLICATION, COUNT_PREFIX
from tests.users_platform.deployment_case import DeploymentTestCase

EDGE = "edge-0"
COORDINATOR = "disk-0"
MARGIN_SECONDS = 0.5


class ExpiredServersTest(DeploymentTestCase):
    def setUp(self):
        self.deployment = self.start(edges=2, disks=1, engines=1, applications=2)
        self.wait(lambda: self.deployment.coordinators() == [COORDINATOR])
        self.node = self.deployment.node(EDGE).node
        self.wait(lambda: self.node.follows_feed and self.known_servers() == 2)
        self.requests = 0

    def known_servers(self):
        return len(self.node.directory.of_service(APPLICATION))

    def status(self):
        """Send a plain request to the edge node and return the status of the response."""
        self.requests += 1
        headers = {"Attempt-Id": f"count-{self.requests}", "Deadline-Ms": "1000"}
        response = self.deployment.call(EDGE, "POST", f"{COUNT_PREFIX}x", headers, b"rice")
        return response.status if response is not None else 0

    def servers(self):
        return [*self.deployment.engines, *self.deployment.applications]

    def start_outage(self, seconds):
        """Make the store refuse all requests and remove the entries of all servers."""
        self.deployment.store.refused = True
        gevent.sleep(seconds)
        for server in self.servers():
            self.deployment.store.objects.remove("servers", server.server_id)

    def restore_store_access(self, *names):
        """End the outage for the named nodes only."""
        for name in self.deployment.node_names:
            self.deployment.store_endpoint(name).refused = name not in names
        self.deployment.store.refused = False

    def end_outage_at_edge(self):
        """End the outage for the edge node first, so that it sees the expiry itself."""
        expired_revision = self.deployment.store.objects.revision
        self.restore_store_access(EDGE)
        self.wait(lambda: self.node._backend_watcher.revision >= expired_revision)

    def end_outage(self):
        """End the outage for all nodes; the servers report again."""
        self.restore_store_access(*self.deployment.node_names)
        self.wait(lambda: self.node.follows_feed)
        for server in self.servers():
            server.report_state()
        gevent.sleep(EXPIRED_BACKEND_GRACE_SECONDS + MARGIN_SECONDS)

    def test_node_that_saw_the_expiry_itself_serves_again(self):
        self.start_outage(MIN_OUTAGE_SECONDS + MARGIN_SECONDS)
        self.end_outage_at_edge()
        self.end_outage()
        self.assertEqual([self.status() for _ in range(3)], [200] * 3)
        self.assertEqual(self.known_servers(), 2)

    def test_node_keeps_the_servers_until_it_reaches_the_store(self):
        self.start_outage(MIN_OUTAGE_SECONDS + MARGIN_SECONDS)
        self.assertEqual(self.status(), 200)
        self.end_outage_at_edge()
        self.assertEqual([self.status() for _ in range(3)], [200] * 3)
        self.assertEqual(self.known_servers(), 2)

    def test_server_that_does_not_return_is_removed_on_all_nodes(self):
        lost = self.deployment.applications[0]
        self.start_outage(MIN_OUTAGE_SECONDS + MARGIN_SECONDS)
        lost.stop()
        self.restore_store_access(*self.deployment.node_names)
        for server in self.servers():
            if server is not lost:
                server.report_state()
        for name in self.deployment.node_names:
            directory = self.deployment.node(name).node.directory
            self.wait(lambda directory=directory: directory.get(lost.server_id) is None)
            self.assertEqual(len(directory.of_service(APPLICATION)), 1)
        self.assertEqual(self.status(), 200)


if __name__ == "__main__":
    unittest.main()
