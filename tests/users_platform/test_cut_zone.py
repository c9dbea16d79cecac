"""A zone that is cut off accepts no job that the others don't know of.

What users saw: a job that had been accepted was answered 404, by nodes of the other zones.

Order of events: a zone is cut off from the others and from the store; an edge node in it takes a
job, and three storage machines keep it, all in the same zone; a node of another zone reads the
store, which hasn't got it, asks the storage machines that it reaches, and answers that there is no
such job, until the cut heals and the job is handed on.

Cause: an acceptance counted machines, whatever their zones, though a whole zone may be lost; a
reader took those that it did not reach for machines that had denied.

Evidence: line ``job_accepted`` by storage machines, ``job_hint`` kept at three machines of the
zone, and at the same time lines ``answer`` with 404 at nodes of the two other zones.
"""

import unittest

import gevent

from runkeel.errors import ErrorCode, not_run
from runkeel_lab.users_platform.deployment import ZONES
from tests.users_platform.deployment_case import DeploymentTestCase

DISKS = 6


class CutZoneTest(DeploymentTestCase):
    def setUp(self):
        self.deployment = self.start(
            edges=3, disks=DISKS, engines=2, tolerated_losses=1, tolerated_zones=1
        )
        nodes = [self.deployment.node(name).node for name in self.deployment.node_names]
        self.wait(lambda: all(self.knows_all(node) for node in nodes))
        coordinator = self.deployment.coordinators()[0]
        # The zone has a coordinator of its own soon, which is not the one that lists.
        self.cut_zone = next(zone for zone in ZONES if zone != self.zone_of(coordinator))
        edges = self.deployment.edge_names
        self.inside = next(one for one in edges if self.zone_of(one) == self.cut_zone)
        self.outside = [one for one in edges if one != self.inside]
        self.cut = False
        for node in nodes:
            self._wrap(node)

    def knows_all(self, node):
        known = node._election.keepers()
        return known.complete and len(known.keepers) >= DISKS

    def _wrap(self, node):
        """Let a node's calls fail that cross the cut, as they do behind a silent partition."""
        call = node._network.call

        def cut_call(node_id, *arguments):
            if self.cut and self.is_inside(node_id) != (node.zone == self.cut_zone):
                gevent.sleep(0.1)
                raise not_run(ErrorCode.PEER_UNREACHABLE, node_id)
            return call(node_id, *arguments)

        node._network.call = cut_call

    def is_inside(self, name):
        return self.zone_of(name) == self.cut_zone

    def zone_of(self, name):
        return ZONES[int(name.partition("-")[2]) % len(ZONES)]

    def cut_off(self):
        self.cut = True
        for name in self.deployment.node_names:
            self.deployment.store_of(name).refused = self.is_inside(name)
        gevent.sleep(0.5)

    def heal(self):
        self.cut = False
        for name in self.deployment.node_names:
            self.deployment.store_of(name).refused = False

    def read_status(self, edge, job_id):
        answer = self.deployment.call(edge, "GET", f"/runkeel/lots/{job_id}?AfterRevision=0")
        return answer.status if answer is not None else 0

    def test_accepted_job_is_nowhere_said_to_be_unknown(self):
        self.cut_off()
        items = [f"cut-g{number}" for number in range(4)]
        status = self.deployment.submit(self.inside, "cut", items)
        statuses = {self.read_status(edge, "cut") for edge in self.outside}
        if status == 202:
            self.assertNotIn(404, statuses)
        else:
            # Two machines of the zone have it: that it won't run can't be promised.
            self.assertIn(status, (502, 504))
        self.heal()
        self.wait(lambda: self.deployment.submit(self.inside, "cut", items) == 202)
        results = self.wait_for_results(self.deployment, self.outside[0], "cut", len(items))
        self.assertEqual({result["State"] for result in results}, {"completed"})

    def test_results_that_were_read_are_not_said_to_be_missing_behind_the_cut(self):
        """A job that was sent again into a cut zone was taken for a new one, with nothing listed.

        Its results had been read elsewhere; the zone's own coordinator answered 200 without any.
        """
        items = [f"again-g{number}" for number in range(4)]
        self.assertEqual(self.deployment.submit(self.outside[0], "again", items), 202)
        whole = self.wait_for_results(self.deployment, self.outside[0], "again", len(items))
        self.cut_off()
        gevent.sleep(2.0)
        self.deployment.submit(self.inside, "again", items)
        for _ in range(40):
            results = self.deployment.results(self.inside, "again", 1)
            self.assertIn(results, (None, whole[1:]))
            gevent.sleep(0.1)
        self.heal()
        self.wait(lambda: self.deployment.results(self.inside, "again", 1) == whole[1:])

    def test_job_that_nobody_has_is_said_so_beside_a_zone_that_is_cut_off(self):
        self.cut_off()
        self.assertEqual(self.read_status(self.outside[0], "unknown"), 404)
        self.heal()
        self.wait(lambda: self.read_status(self.inside, "unknown") == 404)

    def test_job_is_accepted_by_several_zones_while_the_store_is_down(self):
        self.deployment.store.refused = True
        gevent.sleep(0.5)
        items = [f"down-g{number}" for number in range(4)]
        self.assertEqual(self.deployment.submit(self.inside, "down", items), 202)
        self.deployment.store.refused = False
        self.wait_for_results(self.deployment, self.outside[0], "down", len(items))


if __name__ == "__main__":
    unittest.main()
