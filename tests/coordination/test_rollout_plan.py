"""Selection of the engines to change: models share loads, failing engines don't count."""

import unittest
from types import SimpleNamespace

from runkeel.api.fleet import Backend
from runkeel.api.machines import Address
from runkeel.coordination.load_pacing import MAX_CONCURRENT_SHARE, LoadPacing
from runkeel.coordination.rollout_plan import EngineStatus, ModelDemand, plan_changes

MODELS = ("draft", "learn", "tune")
ENGINES = 18


class RolloutPlanTest(unittest.TestCase):
    def setUp(self):
        address = Address("127.0.0.1", 1)
        self.engines = [
            SimpleNamespace(
                backend_id=f"e{n}", backend=Backend(f"e{n}", "models", address, "zone", 6)
            )
            for n in range(ENGINES)
        ]
        self.versions = dict.fromkeys(MODELS, 1)
        self.loaded_versions = {}
        self.avoided = set()
        self.items = 100
        self.max_version_lag = 1

    def engine_status(self, state, model):
        avoided = state.backend_id in self.avoided
        version = self.loaded_versions.get((state.backend_id, model), 1)
        return EngineStatus(state, version, 0, not avoided, avoided)

    def plan(self, loading=0):
        demand = ModelDemand(0, self.max_version_lag, self.items, False)
        available_loads = LoadPacing(0.9).available_loads(len(self.engines), loading)
        return plan_changes(
            self.engines, self.versions, lambda model: demand, self.engine_status, available_loads
        )

    def count(self, changes):
        return [sum(change.model == model for change in changes) for model in MODELS]

    def test_models_without_engines_share_the_loads(self):
        """All engines of one model must not load before the first one of another."""
        self.versions = dict.fromkeys(MODELS, 3)
        changes = self.plan()
        self.assertEqual(len(changes), int(ENGINES * MAX_CONCURRENT_SHARE))
        self.assertLessEqual(max(self.count(changes)) - min(self.count(changes)), 1)

    def test_model_with_fewest_engines_goes_first(self):
        self.versions = dict.fromkeys(MODELS, 3)
        for model in ("draft", "learn"):
            self.loaded_versions.update({(f"e{n}", model): 3 for n in range(7)})
        self.assertEqual(self.count(self.plan()), [0, 0, 7])

    def test_engines_that_jobs_no_longer_accept_go_first(self):
        self.versions = {"draft": 2, "learn": 3, "tune": 2}
        self.assertEqual(self.count(self.plan()), [0, 7, 0])

    def test_no_engine_is_ordered_twice(self):
        self.versions = dict.fromkeys(MODELS, 3)
        taken = [change.state.backend_id for change in self.plan()]
        self.assertEqual(len(set(taken)), len(taken))

    def test_loading_engines_count_against_the_limit(self):
        self.versions = dict.fromkeys(MODELS, 3)
        self.assertEqual(len(self.plan(loading=5)), 2)

    def test_models_prefer_different_engines(self):
        """With few items per model, all models would otherwise use the same engines."""
        self.items = 16
        self.max_version_lag = 0
        used = set()
        for model in MODELS:
            self.versions = {model: 2}
            used.update(change.state.backend_id for change in self.plan())
        self.assertGreaterEqual(len(used), 4)

    def test_failing_engines_are_not_counted(self):
        self.items = 16
        self.max_version_lag = 0
        self.versions = {"draft": 2}
        preferred = {change.state.backend_id for change in self.plan()}
        self.avoided = preferred
        changes = self.plan()
        self.assertEqual(len(changes), len(preferred))
        self.assertFalse(preferred & {change.state.backend_id for change in changes})


if __name__ == "__main__":
    unittest.main()
