import http.client

import gevent

from runkeel_lab.standins.engine import Engine
from runkeel_lab.standins.weight_store import WeightStore
from tests.lab.standin_fixture import Completion, StandInTestCase

FAST = {"base_ms": 1.0, "per_sequence_ms": 0.0, "cache_event_lag_ms": 0, "load_lag_ms": 0}
LONG = 100_000


class EngineTestCase(StandInTestCase):
    def engine(self, **options) -> Engine:
        return self.start(Engine, "e", "m", **{**FAST, "local_load_ms": 1, **options})

    def complete(self, engine: Engine, request_id: str = "r", **fields) -> Completion:
        return Completion(self, engine, request_id, **fields)

    def background_read(self, engine: Engine, request_id: str, **fields) -> gevent.Greenlet:
        return self.background(lambda: self.complete(engine, request_id, **fields).read())

    def running(self, engine: Engine, count: int) -> None:
        self.wait_until(lambda: engine.fault_state()["running"] == count)

    def order(self, engine: Engine, order_id: str, fence: int, version: int, **fields):
        order = {"order_id": order_id, "fence": fence, "kind": "load", "version": version}
        return self.call(engine, "POST", "/v1/orders", {**order, "model": "m", **fields})

    def loaded(self, engine: Engine, version: int) -> None:
        self.wait_until(lambda: engine.fault_state()["weight_version"] == version)


class CompletionTest(EngineTestCase):
    def test_tokens_follow_the_formula_and_the_stop_mark(self):
        engine = self.engine()
        whole = self.complete(engine, max_tokens=21).read()
        self.assertEqual((len(whole.tokens), whole.finish_reason), (21, "length"))
        self.assertEqual(whole.wrong_tokens(), [])
        self.assertTrue(whole.done)
        self.assertEqual(whole.seen[0]["text"], f" t{whole.tokens[0]}")
        stopped = self.complete(engine, prompt="rice [stop=5]", max_tokens=21).read()
        self.assertEqual((len(stopped.tokens), stopped.finish_reason), (5, "stop"))

    def test_resumed_completion_equals_the_whole_one(self):
        engine = self.engine()
        whole = self.complete(engine, max_tokens=30).read()
        rest = self.complete(engine, max_tokens=30, prior_token_ids=whole.tokens[:11]).read()
        self.assertEqual(rest.seen[0]["position"], 11)
        self.assertEqual(rest.tokens, whole.tokens[11:])

    def test_swap_in_mid_stream_never_mixes_versions_in_an_event(self):
        engine = self.engine(tokens_per_event=7)
        completion = self.complete(engine, max_tokens=700)
        events = completion.events()
        next(events)
        self.order(engine, "o1", 1, 2)
        completion.read()
        versions = {event["weight_version"] for event in completion.seen}
        self.assertEqual(versions, {1, 2})
        self.assertEqual(completion.wrong_tokens(), [])
        self.assertEqual(len(completion.tokens), 700)
        ranges = self.journal("e", "finished")[0]["versions"]
        self.assertEqual([part["version"] for part in ranges], [1, 2])
        self.assertEqual(sum(part["count"] for part in ranges), 700)

    def test_refusals(self):
        engine = self.engine(kv_total_blocks=4, base_ms=30.0)
        self.assertEqual(self.complete(engine, model="other").status, 404)
        self.assertEqual(self.complete(engine, adapter="none").status, 404)
        self.assertEqual(self.complete(engine, minimum_version=2).status, 503)
        self.assertEqual(self.complete(engine, max_tokens=1000).status, 400)
        self.assertEqual(self.complete(engine, max_tokens="x").status, 400)
        self.background_read(engine, "same", max_tokens=30, prompt="a")
        self.running(engine, 1)
        self.assertEqual(self.complete(engine, "same", max_tokens=1).status, 409)

    def test_client_that_goes_away_frees_its_place(self):
        engine = self.engine()
        completion = self.complete(engine, max_tokens=LONG)
        next(completion.events())
        completion.abandon()
        self.running(engine, 0)
        self.assertEqual(self.journal("e", "cancelled")[0]["reason"], "disconnected")


class SchedulingTest(EngineTestCase):
    def test_urgent_request_preempts_the_least_urgent(self):
        engine = self.engine(max_running=2)
        for request_id, priority in (("low", 5), ("middle", 3)):
            self.background_read(engine, request_id, max_tokens=LONG, priority=priority)
        self.running(engine, 2)
        urgent = self.complete(engine, "urgent", max_tokens=5).read()
        self.assertEqual(len(urgent.tokens), 5)
        self.assertEqual([each["request_id"] for each in self.journal("e", "preempted")], ["low"])
        self.wait_until(lambda: self.journal("e", "resumed"))

    def test_equal_priority_waits_and_a_preempted_stream_loses_nothing(self):
        engine = self.engine(max_running=1)
        low = self.background_read(engine, "low", max_tokens=700, priority=5)
        self.running(engine, 1)
        equal = self.background_read(engine, "equal", max_tokens=5, priority=5)
        self.wait_until(lambda: engine.fault_state()["waiting"] == 1)
        self.complete(engine, "urgent", max_tokens=5).read()
        for task, length in ((low, 700), (equal, 5)):
            completion = task.get(timeout=10)
            self.assertEqual(len(completion.tokens), length)
            self.assertEqual(completion.wrong_tokens(), [])
        preempted = [each["request_id"] for each in self.journal("e", "preempted")]
        self.assertEqual(preempted, ["low"])

    def test_full_kv_cache_preempts_and_all_still_end(self):
        engine = self.engine(kv_total_blocks=6)
        tasks = [
            self.background_read(engine, f"r{number}", max_tokens=60, priority=number)
            for number in range(3)
        ]
        lengths = [len(task.get(timeout=10).tokens) for task in tasks]
        self.assertEqual(lengths, [60, 60, 60])
        self.assertTrue(self.journal("e", "preempted"))
        self.assertEqual(engine.fault_state()["kv_used_blocks"], 0)

    def test_cached_prefix_saves_prefill_and_events_tell(self):
        engine = self.engine(prefix_cache_blocks=4, cache_event_gap_fraction=0.0)
        prompt = "x" * 64 * 3
        self.complete(engine, "a", prompt=prompt, max_tokens=1).read()
        self.complete(engine, "b", prompt=prompt, max_tokens=1).read()
        prefills = [each["prefill_tokens"] for each in self.journal("e", "started")]
        self.assertEqual(prefills, [48, 0])
        self.complete(engine, "c", prompt="y" * 64 * 3, max_tokens=1).read()
        answer = self.call(engine, "GET", "/v1/cache-events?since=0").json
        kinds = [event["kind"] for event in answer["events"]]
        self.assertEqual((kinds.count("stored"), kinds.count("evicted")), (6, 2))
        after = self.call(engine, "GET", f"/v1/cache-events?since={answer['next']}").json
        self.assertEqual(after, {"events": [], "next": answer["next"]})

    def test_cache_events_have_gaps(self):
        engine = self.engine(cache_event_gap_fraction=0.5, seed=7)
        self.complete(engine, prompt="z" * 64 * 40, max_tokens=1).read()
        events = self.call(engine, "GET", "/v1/cache-events?since=0").json["events"]
        self.assertTrue(0 < len(events) < 40)


class CancelTest(EngineTestCase):
    def test_cancelled_sequence_moves_with_its_kv_cache(self):
        engine = self.engine()
        completion = self.complete(engine, max_tokens=LONG)
        next(completion.events())
        cancelled = self.call(engine, "DELETE", "/v1/completions/r").json
        self.assertEqual(cancelled["state"], "cancelled")
        completion.read()
        self.assertEqual(completion.finish_reason, "cancelled")
        self.assertTrue(completion.done)
        handle = cancelled["kv_handle"]
        exported = self.call(engine, "GET", f"/v1/kv/{handle}").body
        other = self.start(Engine, "other", "m", **FAST)
        self.assertEqual(self.call(other, "PUT", f"/v1/kv/{handle}", exported).status, 200)
        length = len(completion.tokens)
        moved = {"prior_token_ids": completion.tokens, "max_tokens": length + 20}
        self.complete(other, "with", kv_handle=handle, **moved).read()
        rest = self.complete(other, "without", prompt="new prompt", **moved).read()
        self.assertEqual(len(rest.tokens), 20)
        prefills = [each["prefill_tokens"] for each in self.journal("other", "started")]
        self.assertEqual(prefills[0], 0)
        self.assertGreater(prefills[1], length)

    def test_finished_before_its_client_has_read_it(self):
        engine = self.engine()
        self.complete(engine, max_tokens=3)
        self.wait_until(lambda: self.journal("e", "finished"))
        state = self.call(engine, "DELETE", "/v1/completions/r").json
        self.assertEqual(state["state"], "finished")

    def test_states_and_evicted_handles(self):
        engine = self.engine()
        self.complete(engine, max_tokens=1).read()
        state = self.call(engine, "DELETE", "/v1/completions/r").json
        self.assertEqual(state, {"state": "finished", "kv_handle": ""})
        unknown = self.call(engine, "DELETE", "/v1/completions/none").json
        self.assertEqual(unknown["state"], "unknown")
        self.assertEqual(self.call(engine, "GET", "/v1/kv/none").status, 404)
        for body in (b"\xff", {"model": "m"}, {"model": "m", "prompt_crc32": [], "token_count": 1}):
            self.assertEqual(self.call(engine, "PUT", "/v1/kv/x", body).status, 400)


class OrderTest(EngineTestCase):
    def test_older_fence_is_refused_and_a_repeated_order_is_not_run_twice(self):
        engine = self.engine()
        self.assertEqual(self.order(engine, "new", 5, 3).status, 202)
        older = self.order(engine, "old", 4, 2)
        self.assertEqual((older.status, older.json), (409, {"fence": 5}))
        self.assertEqual(self.order(engine, "new", 5, 3).status, 200)
        self.loaded(engine, 3)
        self.assertEqual(len(self.journal("e", "swap_started")), 1)

    def test_newer_order_overtakes_a_load_under_way(self):
        engine = self.engine(local_load_ms=500)
        self.order(engine, "o2", 1, 2)
        self.order(engine, "o3", 2, 3)
        self.loaded(engine, 3)
        self.assertEqual([each["version"] for each in self.journal("e", "swapped")], [3])

    def test_role_and_adapter(self):
        engine = self.engine(adapter_load_ms=0)
        self.order(engine, "r", 1, 0, kind="role", role="rollouts")
        self.order(engine, "a", 2, 0, adapter="pt")
        self.wait_until(lambda: engine.fault_state()["swap"] == "idle")
        status = self.call(engine, "GET", "/v1/status").json
        self.assertEqual((status["role"], status["adapters"]), ("rollouts", ["pt"]))
        self.assertEqual(status["weight_version"], 1)
        self.assertEqual(self.complete(engine, adapter="pt").status, 200)

    def test_failed_swap_keeps_the_old_version_and_may_be_ordered_again(self):
        engine = self.engine()
        self.fault(engine, "fail_swap")
        self.order(engine, "o", 1, 2)
        self.wait_until(lambda: engine.fault_state()["swap"] == "failed")
        state = engine.fault_state()
        self.assertEqual((state["ready"], state["weight_version"]), (True, 1))
        self.assertEqual(self.complete(engine).read().wrong_tokens(), [])
        self.assertEqual(self.order(engine, "o", 1, 2).status, 202)
        self.loaded(engine, 2)

    def test_half_done_swap_cuts_streams_and_is_not_ready_until_loaded(self):
        engine = self.engine()
        completion = self.complete(engine, max_tokens=LONG)
        next(completion.events())
        self.fault(engine, "fail_swap", variant="half_swapped")
        self.order(engine, "o", 1, 2)
        with self.assertRaises((OSError, http.client.HTTPException)):
            completion.read()
        self.assertFalse(completion.done)
        self.assertEqual(completion.wrong_tokens(), [])
        self.assertFalse(self.call(engine, "GET", "/v1/status").json["ready"])
        self.assertEqual(self.complete(engine).status, 503)
        self.order(engine, "o2", 1, 2)
        self.loaded(engine, 2)
        self.assertEqual(self.complete(engine).read().wrong_tokens(), [])

    def test_load_waits_for_the_throttled_store_and_fails_on_an_unknown_version(self):
        store = self.start(WeightStore, "w", concurrent_loads=1, load_ms=1, models={"m": [2]})
        engine = self.engine(weight_store=str(store.address))
        self.fault(store, "error", status=429, for_ms=50)
        self.order(engine, "o", 1, 2)
        self.loaded(engine, 2)
        self.assertTrue(self.journal("w", "refused"))
        self.order(engine, "unknown", 2, 9)
        self.wait_until(lambda: engine.fault_state()["swap"] == "failed")
        self.assertEqual(engine.fault_state()["weight_version"], 2)

    def test_another_model_waits_for_the_running_requests(self):
        engine = self.engine(base_ms=8.0)
        task = self.background_read(engine, "r", max_tokens=100)
        self.running(engine, 1)
        self.order(engine, "o", 1, 7, model="n")
        self.assertEqual(self.complete(engine, "late").status, 503)
        self.assertEqual(len(task.get(timeout=10).tokens), 100)
        self.loaded(engine, 7)
        self.assertEqual(engine.fault_state()["model"], "n")


class FailureTest(EngineTestCase):
    def test_crash_cuts_streams_and_forgets_everything(self):
        engine = self.engine()
        self.order(engine, "o", 9, 2)
        self.loaded(engine, 2)
        completion = self.complete(engine, max_tokens=LONG)
        next(completion.events())
        self.fault(engine, "crash")
        with self.assertRaises((OSError, http.client.HTTPException)):
            completion.read()
        self.assertFalse(completion.done)
        self.fault(engine, "clear")
        status = self.call(engine, "GET", "/v1/status").json
        self.assertEqual((status["weight_version"], status["fence"]), (1, 0))
        self.assertEqual((status["running"], status["kv_used_blocks"]), (0, 0))
        after = [record["event"] for record in self.journal("e")]
        self.assertEqual(after[after.index("crashed") + 1 :], ["fault", "up"])

    def test_hang_stops_a_stream_which_then_goes_on(self):
        engine = self.engine()
        completion = self.complete(engine, max_tokens=300)
        next(completion.events())
        self.fault(engine, "hang")
        made = None
        while made != (made := engine.fault_state()["tokens_generated"]):
            gevent.sleep(0.05)
        self.assertLess(made, 300)
        self.fault(engine, "clear")
        self.assertEqual(len(completion.read().tokens), 300)

    def test_load_report_lags(self):
        engine = self.engine(load_lag_ms=60_000)
        self.background_read(engine, "r", max_tokens=LONG)
        self.running(engine, 1)
        lagging = self.call(engine, "GET", "/v1/load").json
        current = self.call(engine, "GET", "/v1/status").json
        self.assertEqual((lagging["running"], current["running"]), (0, 1))
        self.assertEqual((lagging["age_ms"], current["age_ms"]), (60_000, 0))
        self.assertLess(lagging["sequence"], current["sequence"])
