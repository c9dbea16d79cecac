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
CUT = "a"


class CutZoneTest(DeploymentTestCase):
    def setUp(self):
        self.deployment = self.start(
            edges=3, disks=DISKS, engines=2, tolerated_losses=1, tolerated_zones=1
        )
        nodes = [self.deployment.node(name).node for name in self.deployment.node_names]
        self.wait(lambda: all(self.knows_all(node) for node in nodes))
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
            if self.cut and (self.zone_of(node_id) == CUT) != (node.zone == CUT):
                gevent.sleep(0.1)
                raise not_run(ErrorCode.PEER_UNREACHABLE, node_id)
            return call(node_id, *arguments)

        node._network.call = cut_call

    def zone_of(self, name):
        return ZONES[int(name.partition("-")[2]) % len(ZONES)]

    def cut_off(self):
        self.cut = True
        for name in self.deployment.node_names:
            self.deployment.store_of(name).refused = self.zone_of(name) == CUT
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
        status = self.deployment.submit("edge-0", "cut", items)
        statuses = {self.read_status(edge, "cut") for edge in ("edge-1", "edge-2")}
        if status == 202:
            self.assertNotIn(404, statuses)
        else:
            # Two machines of the zone have it: that it won't run can't be promised.
            self.assertIn(status, (502, 504))
        self.heal()
        self.wait(lambda: self.deployment.submit("edge-0", "cut", items) == 202)
        results = self.whole_job(self.deployment, "edge-1", "cut", len(items))
        self.assertEqual({result["State"] for result in results}, {"completed"})

    def test_job_that_nobody_has_is_said_so_beside_a_zone_that_is_cut_off(self):
        self.cut_off()
        self.assertEqual(self.read_status("edge-1", "unknown"), 404)
        self.heal()
        self.wait(lambda: self.read_status("edge-0", "unknown") == 404)

    def test_job_is_accepted_by_several_zones_while_the_store_is_down(self):
        self.deployment.store.refused = True
        gevent.sleep(0.5)
        items = [f"down-g{number}" for number in range(4)]
        self.assertEqual(self.deployment.submit("edge-0", "down", items), 202)
        self.deployment.store.refused = False
        self.whole_job(self.deployment, "edge-1", "down", len(items))


if __name__ == "__main__":
    unittest.main()
