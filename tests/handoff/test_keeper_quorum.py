"""An acceptance and a "no such job" always meet; against an oracle of cuts and lost disks."""

import unittest
from unittest import mock

import hypothesis.strategies as st
from hypothesis import given, seed, settings

from runkeel.handoff.keeper_quorum import Keeper, KeeperQuorum, LossTolerance
from tests.fuzzing import SEEDS

ZONES = ("a", "b", "c", "d")
REGIONS = {"a": "r", "b": "r", "c": "s", "d": "s"}
OPTIONS = settings(max_examples=500, deadline=None, derandomize=True)


def keepers(*names):
    return [Keeper(name, name[0]) for name in names]


class KeeperQuorumTest(unittest.TestCase):
    def test_kept_in_one_zone_of_which_any_may_be_lost(self):
        """A zone was cut off; it accepted by its own three machines, and others said 404."""
        quorum = KeeperQuorum(LossTolerance(2, 1))
        self.assertFalse(quorum.lasts(keepers("a1", "a2", "a3")))
        self.assertTrue(quorum.lasts(keepers("a1", "a2", "b1")))

    def test_zone_that_is_not_heard_can_be_ruled_out(self):
        quorum = KeeperQuorum(LossTolerance(2, 1))
        self.assertTrue(quorum.rules_out(keepers("a1", "a2", "a3")))
        self.assertFalse(quorum.rules_out(keepers("a1", "a2", "b1")))

    def test_where_no_zone_need_be_borne_machines_alone_count(self):
        quorum = KeeperQuorum(LossTolerance(1))
        self.assertTrue(quorum.lasts(keepers("a1", "a2")))
        self.assertFalse(quorum.lasts(keepers("a1")))
        self.assertFalse(quorum.lasts(keepers("a1", "a1")))

    def test_regions(self):
        quorum = KeeperQuorum(LossTolerance(1, 1, 1), REGIONS)
        self.assertFalse(quorum.lasts(keepers("a1", "b1")))
        self.assertTrue(quorum.lasts(keepers("a1", "c1")))


@st.composite
def histories(draw):
    """Machines, those that took a job, those that lost their disks, those a reader heard."""
    fates = st.sampled_from(["heard", "unheard", "wiped"])
    machines, kept, wiped, heard = [], set(), set(), set()
    tolerance = LossTolerance(draw(st.integers(0, 2)), draw(st.integers(0, 1)))
    for zone in ZONES[: draw(st.integers(1, 3))]:
        for number in range(draw(st.integers(1, 3))):
            machine = Keeper(f"{zone}{number}", zone)
            machines.append(machine)
            if draw(st.booleans()):
                kept.add(machine)
            fate = draw(fates)
            if fate == "wiped" and len(wiped) < tolerance.machines:
                wiped.add(machine)
            if fate != "unheard":
                heard.add(machine)
    return tolerance, machines, kept, wiped, heard


class MeetingTest(unittest.TestCase):
    def check(self, history, vouching):
        """What was accepted is never ruled out, whatever is cut off and whose disks are lost.

        Args:
            vouching: tells whose denials count, of those that were heard and those wiped.
        """
        tolerance, machines, kept, wiped, heard = history
        quorum = KeeperQuorum(tolerance)
        if (kept - wiped) & heard or not quorum.lasts(kept):
            return
        unheard = [one for one in machines if one not in vouching(heard, wiped)]
        self.assertFalse(quorum.rules_out(unheard), history)

    @OPTIONS
    @given(histories())
    def test_accepted_job_is_never_ruled_out(self, history):
        self.check(history, lambda heard, wiped: heard - wiped)

    @OPTIONS
    @given(histories())
    def test_accepted_job_outlives_what_must_be_borne(self, history):
        tolerance, machines, kept, wiped, heard = history
        if KeeperQuorum(tolerance).lasts(kept):
            self.assertTrue(kept - wiped)
            for zone in ZONES:
                if tolerance.zones:
                    self.assertTrue([one for one in kept if one.zone != zone])

    def finds(self, vouching=lambda heard, wiped: heard - wiped):
        """Return whether some seed's examples violate the rule."""
        for number in range(SEEDS):
            run = seed(number)(OPTIONS(given(histories())(lambda one: self.check(one, vouching))))
            try:
                run()
            except AssertionError:
                return True
        return False

    def test_new_disk_that_denies_is_found(self):
        self.assertTrue(self.finds(lambda heard, wiped: heard))

    def test_reader_that_takes_silence_for_a_denial_is_found(self):
        with mock.patch.object(KeeperQuorum, "rules_out", lambda self, unheard: True):
            self.assertTrue(self.finds())

    def test_acceptance_that_does_not_look_at_zones_is_found(self):
        """Where a reader rules out by zones, an acceptance must be spread over them."""

        def by_machines(quorum, kept):
            return len(set(kept)) > quorum.tolerance.machines

        lasts = KeeperQuorum.lasts
        with (
            mock.patch.object(KeeperQuorum, "lasts", by_machines),
            mock.patch.object(
                KeeperQuorum, "rules_out", lambda quorum, unheard: not lasts(quorum, unheard)
            ),
        ):
            self.assertTrue(self.finds())


if __name__ == "__main__":
    unittest.main()
