import http.client
from unittest import mock

import gevent

from runkeel_lab.standins.object_api import ObjectApi, ObjectStore
from tests.lab.standin_fixture import StandInTestCase

TARGET = "/v1/objects/service/tariff"


class ObjectApiTest(StandInTestCase):
    def setUp(self):
        super().setUp()
        self.store = self.start(ObjectApi)

    def put(self, expect: int, value: int, target: str = TARGET):
        body = {"content": {"value": value}}
        return self.call(self.store, "PUT", f"{target}?expect={expect}", body)

    def watch(self, since: int, wait_ms: int = 0):
        target = f"/v1/watch?since={since}&wait_ms={wait_ms}"
        return self.call(self.store, "GET", target).json

    def test_compare_and_swap_lets_one_of_two_writers_win(self):
        self.assertEqual(self.put(0, 1).json["revision"], 1)
        self.assertEqual(self.put(1, 2).status, 200)
        loser = self.put(1, 3)
        self.assertEqual(loser.status, 409)
        self.assertEqual(loser.json["object"]["content"], {"value": 2})
        self.assertIsNone(self.put(7, 1, "/v1/objects/service/none").json["object"])

    def test_lost_answer_leaves_the_write_in_force(self):
        self.fault(self.store, "lose_answers")
        with self.assertRaises((OSError, http.client.HTTPException)):
            self.put(0, 1)
        self.fault(self.store, "clear")
        self.assertEqual(self.call(self.store, "GET", TARGET).json["content"], {"value": 1})
        events = [record["event"] for record in self.journal()]
        self.assertLess(events.index("stored"), events.index("answer_lost"))

    def test_watch_wakes_on_a_write_and_counts_its_readers(self):
        watcher = gevent.spawn(self.watch, 0, 10_000)
        self.wait_until(lambda: self.store.fault_state()["watchers"] == 1)
        self.put(0, 1)
        answer = watcher.get(timeout=10)
        self.assertEqual((answer["revision"], answer["reset"]), (1, False))
        self.assertEqual([item["name"] for item in answer["items"]], ["tariff"])
        self.assertEqual(self.watch(1)["items"], [])
        self.assertEqual(self.store.fault_state()["max_watchers"], 1)

    def test_restored_store_tells_watchers_to_list_again(self):
        for value in range(3):
            self.put(value, value)
        watcher = gevent.spawn(self.watch, 3, 10_000)
        self.wait_until(lambda: self.store.fault_state()["watchers"] == 1)
        self.fault(self.store, "restore_older", revision=1)
        self.assertTrue(watcher.get(timeout=10)["reset"])
        self.assertEqual(self.call(self.store, "GET", TARGET).json["content"], {"value": 0})
        self.assertEqual(self.put(1, 9).json["revision"], 4)
        self.assertTrue(self.watch(3)["reset"])
        self.assertFalse(self.watch(1)["reset"])

    def test_restored_store_may_give_revisions_out_again(self):
        self.put(0, 1)
        self.put(1, 2)
        self.fault(self.store, "restore_older", revision=1, reuse_revisions=True)
        self.assertEqual(self.put(1, 3).json["revision"], 2)

    def test_compacted_history_keeps_every_object(self):
        store = ObjectStore()
        for number in range(4):
            store.put("service", f"s{number}", 0, {})
        with mock.patch("runkeel_lab.standins.object_api.MAX_HISTORY", 4):
            store.put("service", "s4", 0, {})
        store.restore(1, reuse_revisions=False)
        self.assertEqual([item.name for item in store.changed_after(0)], ["s0", "s1"])
        self.assertEqual(store.revision, 2)

    def test_down_refuses_connections_and_comes_back_with_its_objects(self):
        self.put(0, 1)
        self.fault(self.store, "down")
        with self.assertRaises(ConnectionRefusedError):
            self.put(1, 2)
        self.fault(self.store, "clear")
        self.assertEqual(self.put(1, 2).status, 200)

    def test_down_ends_by_itself(self):
        self.fault(self.store, "down", for_ms=1)
        self.wait_until(lambda: self.store._server is not None)
        self.assertEqual(self.put(0, 1).status, 200)

    def test_unavailable_answers_503_and_runs_nothing(self):
        self.fault(self.store, "down", mode="unavailable")
        self.assertEqual(self.put(0, 1).status, 503)
        self.assertEqual(self.store.fault_state()["revision"], 0)

    def test_clear_can_end_one_fault_and_leave_the_others(self):
        self.fault(self.store, "lose_answers")
        self.fault(self.store, "slow", delay_ms=1)
        self.fault(self.store, "clear", only="lose_answers")
        self.assertEqual(self.store.faults.kinds(), ["slow"])

    def test_bad_writes_are_refused(self):
        self.assertEqual(self.call(self.store, "PUT", TARGET, {"content": {}}).status, 400)
        self.assertEqual(self.call(self.store, "PUT", f"{TARGET}?expect=0", b"\xff").status, 400)
        self.assertEqual(self.call(self.store, "PUT", f"{TARGET}?expect=x", {}).status, 400)
        unsupported = self.call(self.store, "POST", "/fault", {"kind": "fail_swap"})
        self.assertEqual(unsupported.status, 400)
