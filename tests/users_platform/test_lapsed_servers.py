"""Servers whose entries lapsed in an outage of the store serve again once they have come back.

What users saw: for ten seconds and more every plain request got 503, on old routes and on those
that had just been added, while batch jobs went on; only a restart of all nodes ended it.

Order of events: the store is silent for five seconds and the entries of all servers lapse; it comes
back, and a node hears of that from the store before it follows the coordinator again; the servers
write their entries anew, unchanged; two seconds later the node gives all of them up.

Cause: a coordinator tells its followers what changes in its own eyes. It had kept the servers
through the outage, so that nothing changed when they came back; the node had not.

Evidence: the node's line ``backends`` names all servers as gone two seconds after its line
``store_regained``, and none as joined until it starts anew; from then on each of its answers is
``no_backend`` under the newest configuration, while the coordinator's items run on those servers.
"""

import unittest

import gevent

from runkeel.fleet_node import EXPIRED_BACKEND_GRACE_SECONDS
from runkeel.state.observed_store import MIN_OUTAGE_SECONDS
from runkeel_lab.users_platform.deployment import APPLICATION, COUNT_PREFIX
from tests.users_platform.deployment_case import DeploymentTestCase

FIRST = "edge-0"
COORDINATOR = "disk-0"
MARGIN_SECONDS = 0.5


class LapsedServersTest(DeploymentTestCase):
    def setUp(self):
        self.deployment = self.start(edges=2, disks=1, engines=1, applications=2)
        self.wait(lambda: self.deployment.coordinators() == [COORDINATOR])
        self.node = self.deployment.node(FIRST).node
        self.wait(lambda: self.node.follows_feed and self.known() == 2)
        self.requests = 0

    def known(self):
        return len(self.node.directory.of_service(APPLICATION))

    def status(self):
        """Send a plain request to the node; returns the answer's status."""
        self.requests += 1
        headers = {"Attempt-Id": f"count-{self.requests}", "Deadline-Ms": "1000"}
        answer = self.deployment.call(FIRST, "POST", f"{COUNT_PREFIX}x", headers, b"rice")
        return answer.status if answer is not None else 0

    def servers(self):
        return [*self.deployment.engines, *self.deployment.applications]

    def lose_store(self, seconds):
        """Let the store refuse everybody; the entries of all servers lapse meanwhile."""
        self.deployment.store.refused = True
        gevent.sleep(seconds)
        for server in self.servers():
            self.deployment.store.objects.remove("servers", server.server_id)

    def let_in(self, *names):
        """End the outage for some machines only."""
        for name in self.deployment.node_names:
            self.deployment.store_of(name).refused = name not in names
        self.deployment.store.refused = False

    def end_outage_at_the_node(self):
        """Let the node see what lapsed, before the coordinator does."""
        lapsed_at = self.deployment.store.objects.revision
        self.let_in(FIRST)
        self.wait(lambda: self.node._backend_watcher.revision >= lapsed_at)

    def end_outage(self):
        """Let the coordinator in too, which the node follows then; the servers come back."""
        self.let_in(*self.deployment.node_names)
        self.wait(lambda: self.node.follows_feed)
        for server in self.servers():
            server.report_state()
        gevent.sleep(EXPIRED_BACKEND_GRACE_SECONDS + MARGIN_SECONDS)

    def test_node_that_saw_the_lapse_itself_serves_again(self):
        self.lose_store(MIN_OUTAGE_SECONDS + MARGIN_SECONDS)
        self.end_outage_at_the_node()
        self.end_outage()
        self.assertEqual([self.status() for _ in range(3)], [200] * 3)
        self.assertEqual(self.known(), 2)

    def test_node_that_tries_the_store_seldom_keeps_the_servers_meanwhile(self):
        self.lose_store(MIN_OUTAGE_SECONDS + MARGIN_SECONDS)
        self.assertEqual(self.status(), 200)
        self.end_outage_at_the_node()
        self.assertEqual([self.status() for _ in range(3)], [200] * 3)
        self.assertEqual(self.known(), 2)

    def test_server_that_does_not_come_back_is_given_up_by_all(self):
        lost = self.deployment.applications[0]
        self.lose_store(MIN_OUTAGE_SECONDS + MARGIN_SECONDS)
        lost.stop()
        self.let_in(*self.deployment.node_names)
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
