"""Updates reach all nodes through their neighbours, even if some nodes are down."""

import random
import unittest

from runkeel.coordination.overlay import MAX_FULL_MESH_NODES, Overlay, neighbours_digest
from runkeel.wire.generated.jobs.ttypes import NodeAddress


def make_nodes(count):
    return [NodeAddress(f"n{number:03}", f"10.0.0.1:{number}", "a") for number in range(count)]


def reached(overlay, start, alive):
    """Return the nodes that an update of one node reaches, and the number of steps."""
    known, newest, steps = {start}, {start}, 0
    while newest:
        notified = {one.node_id for name in newest for one in overlay.neighbours(name)}
        newest = (notified & alive) - known
        known |= newest
        steps += bool(newest)
    return known, steps


class OverlayTest(unittest.TestCase):
    def test_small_fleet_is_fully_meshed(self):
        nodes = make_nodes(MAX_FULL_MESH_NODES)
        overlay = Overlay(lambda: nodes)
        self.assertEqual(len(overlay.neighbours("n003")), MAX_FULL_MESH_NODES - 1)
        self.assertNotIn("n003", [one.node_id for one in overlay.neighbours("n003")])

    def test_four_hundred_nodes_in_nine_steps_to_nine_each(self):
        nodes = make_nodes(400)
        overlay = Overlay(lambda: nodes)
        names = {one.node_id for one in nodes}
        for start in ("n000", "n123", "n399"):
            known, steps = reached(overlay, start, names)
            self.assertEqual(known, names)
            self.assertLessEqual(steps, 9)
            self.assertEqual(len(overlay.neighbours(start)), 9)

    def test_nodes_are_down(self):
        """Few losses must cut off no node; with half of the nodes lost, nearly all are reached."""
        nodes = make_nodes(400)
        overlay = Overlay(lambda: nodes)
        names = sorted(one.node_id for one in nodes)
        for seed in range(10):
            draw = random.Random(seed)
            few = set(names) - set(draw.sample(names[1:], 40))
            self.assertEqual(reached(overlay, names[0], few)[0], few)
            half = set(draw.sample(names[1:], 200)) | {names[0]}
            missed = half - reached(overlay, names[0], half)[0]
            self.assertLessEqual(len(missed), 4)

    def test_new_node_has_neighbours(self):
        nodes = make_nodes(40)
        overlay = Overlay(lambda: nodes)
        names = [one.node_id for one in overlay.neighbours("n0045")]
        self.assertEqual(names[:2], ["n005", "n006"])

    def test_joined_node_is_a_neighbour_at_once(self):
        nodes = make_nodes(3)
        overlay = Overlay(lambda: nodes, lambda: len(nodes))
        self.assertEqual(len(overlay.neighbours("n000")), 2)
        nodes.extend(make_nodes(5)[3:])
        self.assertEqual(len(overlay.neighbours("n000")), 4)

    def test_digest_changes_with_the_neighbours(self):
        nodes = make_nodes(3)
        moved = [*nodes[:2], NodeAddress("n002", "10.0.0.2:2", "a")]
        self.assertEqual(neighbours_digest([]), 0)
        self.assertNotEqual(neighbours_digest(nodes), neighbours_digest(moved))


if __name__ == "__main__":
    unittest.main()
