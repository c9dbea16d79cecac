"""A partitioned zone accepts no job that the other zones then report as unknown."""

import unittest

import gevent

from runkeel.errors import ErrorCode, not_run
from runkeel_lab.users_platform.deployment import ZONES
from tests.users_platform.deployment_case import DeploymentTestCase

DISKS = 6


class PartitionedZoneTest(DeploymentTestCase):
    def setUp(self):
        self.deployment = self.start(
            edges=3, disks=DISKS, engines=2, tolerated_losses=1, tolerated_zones=1
        )
        nodes = [self.deployment.node(name).node for name in self.deployment.node_names]
        self.wait(lambda: all(self.knows_all_storage_nodes(node) for node in nodes))
        coordinator = self.deployment.coordinators()[0]
        # The partitioned zone elects its own coordinator, which is not the one that stores results.
        self.partitioned_zone = next(zone for zone in ZONES if zone != self.zone_of(coordinator))
        edges = self.deployment.edge_names
        self.edge_inside = next(one for one in edges if self.zone_of(one) == self.partitioned_zone)
        self.edges_outside = [one for one in edges if one != self.edge_inside]
        self.partitioned = False
        for node in nodes:
            self._inject_partition(node)

    def knows_all_storage_nodes(self, node):
        known = node._election.storage_nodes()
        return known.complete and len(known.nodes) >= DISKS

    def _inject_partition(self, node):
        """Make calls of a node across the partition fail after a delay."""
        call = node._network.call

        def partitioned_call(node_id, *arguments):
            if self.partitioned and self.is_inside(node_id) != (node.zone == self.partitioned_zone):
                gevent.sleep(0.1)
                raise not_run(ErrorCode.PEER_UNREACHABLE, node_id)
            return call(node_id, *arguments)

        node._network.call = partitioned_call

    def is_inside(self, name):
        return self.zone_of(name) == self.partitioned_zone

    def zone_of(self, name):
        return ZONES[int(name.partition("-")[2]) % len(ZONES)]

    def start_partition(self):
        self.partitioned = True
        for name in self.deployment.node_names:
            self.deployment.store_endpoint(name).refused = self.is_inside(name)
        gevent.sleep(0.5)

    def end_partition(self):
        self.partitioned = False
        for name in self.deployment.node_names:
            self.deployment.store_endpoint(name).refused = False

    def read_status(self, edge, job_id):
        response = self.deployment.call(edge, "GET", f"/runkeel/lots/{job_id}?AfterRevision=0")
        return response.status if response is not None else 0

    def test_accepted_job_is_never_reported_as_unknown(self):
        self.start_partition()
        items = [f"cut-g{number}" for number in range(4)]
        status = self.deployment.submit(self.edge_inside, "cut", items)
        statuses = {self.read_status(edge, "cut") for edge in self.edges_outside}
        if status == 202:
            self.assertNotIn(404, statuses)
        else:
            # Storage nodes of the zone have the job, so that it may still run.
            self.assertIn(status, (502, 504))
        self.end_partition()
        self.wait(lambda: self.deployment.submit(self.edge_inside, "cut", items) == 202)
        results = self.wait_for_results(self.deployment, self.edges_outside[0], "cut", len(items))
        self.assertEqual({result["State"] for result in results}, {"completed"})

    def test_results_are_not_reported_as_missing_in_the_partitioned_zone(self):
        """Guards against listing a resubmitted job there as new, without results."""
        items = [f"again-g{number}" for number in range(4)]
        self.assertEqual(self.deployment.submit(self.edges_outside[0], "again", items), 202)
        all_results = self.wait_for_results(
            self.deployment, self.edges_outside[0], "again", len(items)
        )
        self.start_partition()
        gevent.sleep(2.0)
        self.deployment.submit(self.edge_inside, "again", items)
        for _ in range(40):
            results = self.deployment.results(self.edge_inside, "again", 1)
            self.assertIn(results, (None, all_results[1:]))
            gevent.sleep(0.1)
        self.end_partition()
        self.wait(lambda: self.deployment.results(self.edge_inside, "again", 1) == all_results[1:])

    def test_unknown_job_gives_404_during_a_partition(self):
        self.start_partition()
        self.assertEqual(self.read_status(self.edges_outside[0], "unknown"), 404)
        self.end_partition()
        self.wait(lambda: self.read_status(self.edge_inside, "unknown") == 404)

    def test_job_is_accepted_across_zones_during_a_store_outage(self):
        self.deployment.store.refused = True
        gevent.sleep(0.5)
        items = [f"down-g{number}" for number in range(4)]
        self.assertEqual(self.deployment.submit(self.edge_inside, "down", items), 202)
        self.deployment.store.refused = False
        self.wait_for_results(self.deployment, self.edges_outside[0], "down", len(items))


if __name__ == "__main__":
    unittest.main()
