"""Reversions and late changes are found; outages of a node are not held against it."""

import unittest

from runkeel_lab.configuration_monitor import ConfigurationView
from runkeel_lab.operators import CommandRecord
from runkeel_lab.verify_configuration import AcceptedChange, verify_configuration
from runkeel_lab.verify_control import verify_races
from runkeel_lab.violations import ViolationKind

LEDGER = ("service", "ledger")


def view(at: float, generation: int, life: int = 1, fresh: bool = False) -> ConfigurationView:
    return ConfigurationView(at, life, fresh, {LEDGER: generation} if generation else {})


class ConfigurationTest(unittest.TestCase):
    def _verify(self, *views: ConfigurationView, changed_at: float = 10.0):
        changes = [AcceptedChange(changed_at, LEDGER, 2)]
        return verify_configuration({"node-1": views}, changes)

    def _kinds(self, *views: ConfigurationView) -> list[ViolationKind]:
        return [each.kind for each in self._verify(*views).violations]

    def test_in_force_in_time(self):
        findings = self._verify(view(9.0, 1), view(10.5, 1), view(11.5, 2))
        self.assertEqual((findings.in_force_s, findings.violations), (1.5, []))

    def test_late_and_never(self):
        late = [ViolationKind.CONFIGURATION_LATE]
        self.assertEqual(self._kinds(view(9.0, 1), view(20.0, 2)), late)
        self.assertEqual(self._kinds(view(9.0, 1), view(20.0, 1)), late)
        self.assertEqual(self._kinds(view(9.0, 1), view(12.0, 1)), [])

    def test_time_counts_from_a_nodes_return(self):
        findings = self._verify(view(9.0, 1), view(30.0, 1, fresh=True), view(31.0, 2))
        self.assertEqual((findings.in_force_s, findings.violations), (1.0, []))

    def test_reverted_and_lost(self):
        reverted = [ViolationKind.CONFIGURATION_REVERTED]
        self.assertEqual(self._kinds(view(10.0, 2), view(11.0, 1), view(12.0, 2)), reverted)
        self.assertEqual(self._kinds(view(10.0, 2), view(11.0, 0), view(12.0, 2)), reverted)

    def test_a_started_node_may_join_but_not_with_old_objects(self):
        joining = (view(10.0, 2), view(12.0, 0, life=2), view(13.0, 2, life=2))
        self.assertEqual(self._kinds(*joining), [])
        old = (view(10.0, 2), view(12.0, 1, life=2), view(13.0, 2, life=2))
        self.assertEqual(self._kinds(*old), [ViolationKind.CONFIGURATION_REVERTED])
        slow = (view(10.0, 2), view(12.0, 0, life=2), view(16.0, 0, life=2))
        self.assertEqual(self._kinds(*slow), [ViolationKind.CONFIGURATION_REVERTED])

    def test_a_deletion_is_no_reversion_but_what_follows_may_be(self):
        changes = [AcceptedChange(10.0, LEDGER, 3, deleted=True)]

        def verify(*views: ConfigurationView):
            return verify_configuration({"node-1": views}, changes)

        findings = verify(view(9.0, 2), view(11.0, 0), view(12.0, 0))
        self.assertEqual((findings.in_force_s, findings.violations), (1.0, []))
        early = verify(view(8.0, 2), view(9.0, 0), view(11.0, 0)).violations
        self.assertEqual([each.kind for each in early], [ViolationKind.CONFIGURATION_REVERTED])
        back = verify(view(9.0, 2), view(11.0, 0), view(12.0, 2)).violations
        self.assertEqual([each.kind for each in back], [ViolationKind.CONFIGURATION_REVERTED])
        again = verify(view(9.0, 2), view(11.0, 0), view(12.0, 4)).violations
        self.assertEqual(again, [])


class RaceTest(unittest.TestCase):
    def _kinds(self, *answers: tuple[int, dict]) -> list[ViolationKind]:
        race = [
            CommandRecord(str(number), "set", "node", 0.0, 1.0, status, content)
            for number, (status, content) in enumerate(answers)
        ]
        return [each.kind for each in verify_races([race])]

    def test_one_winner_or_one_after_another(self):
        conflict = (409, {"code": "conflict", "verdict": "not_run"})
        self.assertEqual(self._kinds((200, {"generation": 2}), conflict), [])
        self.assertEqual(self._kinds((200, {"generation": 2}), (200, {"generation": 3})), [])

    def test_two_winners_and_no_verdict(self):
        twice = self._kinds((200, {"generation": 2}), (200, {"generation": 2}))
        self.assertEqual(twice, [ViolationKind.RACE_UNDECIDED])
        self.assertEqual(self._kinds((0, {})), [ViolationKind.RACE_UNDECIDED])
