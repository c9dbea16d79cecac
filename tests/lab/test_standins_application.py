import http.client

from runkeel_lab.standins.application import Application
from tests.lab.standin_fixture import StandInTestCase

HEADERS = {"X-Request-Id": "r1", "Idempotency-Key": "k1"}


class ApplicationTest(StandInTestCase):
    def setUp(self):
        super().setUp()
        self.server = self.start(Application, service_ms=0, max_concurrency=1, max_waiting=1)

    def post(self, target: str = "/reserve", body=b"", **headers):
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        return self.call(self.server, "POST", target, body, {**HEADERS, **named})

    def test_answers_tell_whose_they_are(self):
        lookup = self.call(self.server, "GET", "/lookup/rice%20a", headers=HEADERS).json
        self.assertEqual((lookup["request_id"], lookup["key"]), ("r1", "rice a"))
        for target in ("/reserve", "/rate"):
            answer = self.post(target, {"key": "shelf 7"}).json
            self.assertEqual((answer["request_id"], answer["key"]), ("r1", "shelf 7"))
        echo = self.post("/echo", b"hello").json
        self.assertEqual((echo["key"], echo["body"]), ("k1", "hello"))
        self.assertEqual(self.post("/unknown").status, 404)

    def test_repeated_request_runs_again_and_the_journal_tells(self):
        self.post()
        self.post()
        runs = self.journal("s", "started")
        self.assertEqual([run["key"] for run in runs], ["k1", "k1"])

    def test_over_the_limits_is_refused_before_it_runs(self):
        tasks = [self.background(self.post, X_Emulated_Ms="500") for _ in range(2)]
        self.wait_until(lambda: self.server.fault_state()["waiting"] == 1)
        self.assertEqual(self.post().status, 503)
        self.assertEqual([task.get(timeout=10).status for task in tasks], [200, 200])
        self.assertEqual(self.server.fault_state()["executions"], 2)

    def test_cut_answer_has_run_and_is_shorter_than_announced(self):
        self.fault(self.server, "cut_answers")
        with self.assertRaises(http.client.IncompleteRead):
            self.post(X_Emulated_Bytes="10000")
        self.assertEqual(len(self.journal("s", "finished")), 1)

    def test_lost_answer_has_run(self):
        self.fault(self.server, "lose_answers")
        with self.assertRaises((OSError, http.client.HTTPException)):
            self.post()
        self.assertEqual(len(self.journal("s", "finished")), 1)

    def test_crash_in_mid_run_leaves_a_start_without_an_end(self):
        task = self.background(self.post, X_Emulated_Ms="60000")
        self.wait_until(lambda: self.server.fault_state()["running"] == 1)
        self.fault(self.server, "crash")
        self.assertIsInstance(task.get(timeout=10), (OSError, http.client.HTTPException))
        self.assertEqual(self.server.fault_state()["running"], 0)
        with self.assertRaises(ConnectionRefusedError):
            self.post()
        self.fault(self.server, "clear")
        self.assertEqual(self.post().status, 200)
        self.assertEqual(len(self.journal("s", "started")), 2)
        self.assertEqual(len(self.journal("s", "finished")), 1)

    def test_hung_request_runs_after_the_hang(self):
        self.fault(self.server, "hang")
        task = self.background(self.post)
        self.wait_until(lambda: self.journal("s", "received"))
        self.assertEqual(self.journal("s", "started"), [])
        self.fault(self.server, "clear")
        self.assertEqual(task.get(timeout=10).status, 200)

    def test_bad_headers_are_refused(self):
        for value in ("x", "-1", "nan"):
            with self.subTest(value=value):
                self.assertEqual(self.post(X_Emulated_Ms=value).status, 400)
