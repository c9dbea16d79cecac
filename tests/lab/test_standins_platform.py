import zlib

import gevent

from runkeel_lab.standins.machine_list import MachineList
from runkeel_lab.standins.scorer import Scorer
from runkeel_lab.standins.weight_store import WeightStore
from tests.lab.standin_fixture import StandInTestCase

MACHINE = {"kind": "engine", "zone": "hobart-a", "pool": "m", "addresses": {"http": "127.0.0.1:1"}}
CONTROL = "/fault/machines/engine-1"


class MachineListTest(StandInTestCase):
    def test_change_shows_after_the_lag_and_wakes_the_poll(self):
        machines = self.start(MachineList, lag_ms=400)
        self.assertEqual(self.call(machines, "PUT", CONTROL, MACHINE).status, 200)
        self.assertEqual(self.call(machines, "GET", "/v1/machines").json["machines"], [])
        shown = self.call(machines, "GET", "/v1/machines?since=0&wait_ms=10000").json
        self.assertEqual(shown["version"], 1)
        self.assertEqual(
            shown["machines"], [{**MACHINE, "id": "engine-1", "state": "live", "version": 1}]
        )

    def test_leaving_and_removal(self):
        machines = self.start(MachineList, lag_ms=0)
        self.call(machines, "PUT", "/fault/machines", {"machines": [{**MACHINE, "id": "a"}]})
        self.call(machines, "PUT", CONTROL, {**MACHINE, "state": "leaving"})
        shown = self.call(machines, "GET", "/v1/machines").json
        states = {machine["id"]: machine["state"] for machine in shown["machines"]}
        self.assertEqual(states, {"a": "live", "engine-1": "leaving"})
        self.call(machines, "DELETE", CONTROL)
        self.assertEqual(len(self.call(machines, "GET", "/v1/machines").json["machines"]), 1)

    def test_wrong_machine_is_refused(self):
        machines = self.start(MachineList)
        self.assertEqual(self.call(machines, "PUT", CONTROL, {"kind": "ship"}).status, 400)


class WeightStoreTest(StandInTestCase):
    def setUp(self):
        super().setUp()
        self.store = self.start(WeightStore, concurrent_loads=1, load_ms=400, models={"m": [1]})

    def load(self, version: int):
        return self.call(self.store, "POST", f"/v1/models/m/versions/{version}/load")

    def test_load_above_the_rate_is_told_when_to_come_back(self):
        first = gevent.spawn(self.load, 1)
        self.wait_until(lambda: self.store.fault_state()["loading"] == 1)
        second = self.load(1)
        self.assertEqual(second.status, 429)
        self.assertGreaterEqual(int(second.headers["Retry-After"]), 1)
        self.assertEqual(first.get(timeout=10).status, 200)

    def test_published_version_can_be_loaded(self):
        self.assertEqual(self.load(2).status, 404)
        self.call(self.store, "POST", "/fault/models/m/versions/2", {"bytes": 5})
        self.assertEqual(self.load(2).status, 200)
        versions = self.call(self.store, "GET", "/v1/models/m/versions").json["versions"]
        self.assertEqual(versions[1], {"version": 2, "bytes": 5})


class ScorerTest(StandInTestCase):
    def test_score_is_a_function_of_prompt_and_tokens(self):
        scorer = self.start(Scorer, service_ms=0)
        sample = {"sample_id": "s1", "prompt": "p", "token_ids": [1, 2]}
        answer = self.call(scorer, "POST", "/v1/score", sample).json
        expected = zlib.crc32(b"p|1,2") % 10_000 / 10_000
        self.assertEqual(answer, {"sample_id": "s1", "score": expected})

    def test_limit_and_errors(self):
        scorer = self.start(Scorer, service_ms=400, max_concurrency=1)
        sample = {"sample_id": "s1", "prompt": "p", "token_ids": []}
        first = gevent.spawn(self.call, scorer, "POST", "/v1/score", sample)
        self.wait_until(lambda: scorer.fault_state()["running"] == 1)
        self.assertEqual(self.call(scorer, "POST", "/v1/score", sample).status, 429)
        self.assertEqual(first.get(timeout=10).status, 200)
        self.fault(scorer, "error", status=503)
        self.assertEqual(self.call(scorer, "POST", "/v1/score", sample).status, 503)
        self.assertEqual(scorer.fault_state()["scored"], 1)
