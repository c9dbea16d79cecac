"""The HTTP adapters of engines and weight store, against small servers."""

import json
import unittest

import gevent
from gevent.pywsgi import WSGIServer

from runkeel.api.machines import Address, Machine, MachineKind, MachineState
from runkeel.backends import engine_directory
from runkeel.backends.engine_directory import EngineMonitor
from runkeel.backends.engine_orders import EngineControlClient, EngineOrder
from runkeel.errors import ErrorCode, RunkeelError
from runkeel.platform.weight_store import StoreLimits, WeightStoreClient
from tests.weights.fakes import MODEL, FakeOwnership, wait_until

STATUS = {
    "sequence": 7, "age_ms": 250, "running": 1, "waiting": 2, "max_running": 8,
    "kv_used_blocks": 3, "kv_total_blocks": 100, "ready": True, "model": MODEL,
    "weight_version": 4, "adapters": ["a"], "role": "mixed", "fence": 9, "swap": "idle",
    "swap_order_id": "",
}  # fmt: skip


class Server:
    """Answers each path with what the test put there."""

    def __init__(self) -> None:
        self.answers = {}
        self.bodies = []
        self._server = WSGIServer(("127.0.0.1", 0), self._answer, log=None)
        self._server.start()
        self.address = Address("127.0.0.1", self._server.server_port)

    def stop(self) -> None:
        self._server.stop(timeout=0)

    def _answer(self, environment, start_response):
        self.bodies.append(environment["wsgi.input"].read())
        status, document = self.answers.get(environment["PATH_INFO"], (404, {}))
        body = document if isinstance(document, bytes) else json.dumps(document).encode()
        start_response(f"{status} X", [("Content-Length", str(len(body)))])
        return [body]


class AdapterTest(unittest.TestCase):
    def setUp(self):
        self.server = Server()
        self.addCleanup(self.server.stop)
        self.engine = EngineControlClient(self.server.address, timeout_seconds=1.0)
        self.addCleanup(self.engine.close)

    def assert_code(self, code, function, *arguments):
        with self.assertRaises(RunkeelError) as caught:
            function(*arguments)
        self.assertEqual(code, caught.exception.code)

    def test_reports_are_parsed(self):
        self.server.answers["/v1/load"] = (200, STATUS)
        status = self.engine.load()
        self.assertEqual((4, 0.25, ("a",)), (status.weight_version, status.age_seconds,
                                            status.adapters))  # fmt: skip
        self.assertGreater(self.engine.exchanged_bytes, len(json.dumps(STATUS)))

    def test_malformed_reports_are_protocol_errors(self):
        for answer in (b"{", b"[]", {}, STATUS | {"fence": None}, STATUS | {"adapters": 3}):
            self.server.answers["/v1/load"] = (200, answer)
            self.assert_code(ErrorCode.PROTOCOL_ERROR, self.engine.load)

    def test_orders_and_their_refusals(self):
        order = EngineOrder("load-1", 77, "load", MODEL, 5)
        for http_status, code in ((409, ErrorCode.STALE_FENCE), (400, ErrorCode.BACKEND_REFUSED)):
            self.server.answers["/v1/orders"] = (http_status, {"fence": 99})
            self.assert_code(code, self.engine.order, order)
        self.server.answers["/v1/orders"] = (202, {"fence": 77})
        self.engine.order(order)
        sent = json.loads(self.server.bodies[-1])
        self.assertEqual(("load-1", 77, 5), (sent["order_id"], sent["fence"], sent["version"]))

    def test_unreachable_engine(self):
        self.server.stop()
        self.assert_code(ErrorCode.BACKEND_UNREACHABLE, self.engine.status)

    def test_weight_store(self):
        store = WeightStoreClient(self.server.address, timeout_seconds=1.0)
        self.server.answers["/v1/limits"] = (200, {"concurrent_loads": 3, "load_ms": 500})
        self.server.answers["/v1/models/m%2F/versions"] = (200, {"versions": []})
        self.assertEqual(StoreLimits(3, 0.5), store.limits())
        self.server.answers["/v1/limits"] = (503, {})
        self.assert_code(ErrorCode.STORE_UNAVAILABLE, store.limits)
        self.server.answers["/v1/limits"] = (200, {"concurrent_loads": "many"})
        self.assert_code(ErrorCode.STORE_UNAVAILABLE, store.limits)
        self.server.answers["/v1/models/m/versions"] = (
            200,
            {"versions": [{"version": 2, "bytes": 9}, {"version": 1}]},
        )
        self.assertEqual([1, 2], [item.version for item in store.versions("m")])

    def test_monitor_follows_an_engine_out_of_and_into_service(self):
        machine = Machine(
            "e", MachineKind.ENGINE, "z", MODEL, self.server.address, MachineState.LIVE, 1
        )
        ownership = FakeOwnership("node", [machine], {"e": "node"})
        monitor = EngineMonitor(ownership, poll_seconds=0.02)
        heard = []
        monitor.on_cache_events(lambda backend_id, events: heard.extend(events))
        self.server.answers["/v1/cache-events"] = (
            200,
            {"events": [{"sequence": 3, "kind": "stored", "prefix": "ab"}], "next": 4},
        )
        self.server.answers["/v1/load"] = (200, STATUS)
        monitor.start()
        self.addCleanup(monitor.stop)
        self.assertTrue(wait_until(lambda: monitor.in_service("e")))
        self.assertTrue(wait_until(lambda: heard))
        self.assertEqual(b"\xab", heard[0].prefix)
        self.assertGreaterEqual(monitor.status("e").age_seconds, 0.25)
        for answer in ((200, STATUS | {"ready": False}), (200, STATUS | {"model": "x"}), (500, {})):
            self.server.answers["/v1/load"] = answer
            self.assertTrue(wait_until(lambda: not monitor.in_service("e")))
            self.server.answers["/v1/load"] = (200, STATUS)
            self.assertTrue(wait_until(lambda: monitor.in_service("e")))
        ownership.owners.clear()
        ownership.changed()
        self.assertIsNone(monitor.status("e"))

    def test_polls_keep_to_their_byte_budget(self):
        machines = [
            Machine(f"e{index}", MachineKind.ENGINE, "z", MODEL, Address("127.0.0.1", index + 1),
                    MachineState.LIVE, 1)
            for index in range(40)
        ]  # fmt: skip
        owners = {machine.machine_id: "node" for machine in machines}
        monitor = EngineMonitor(FakeOwnership("node", machines, owners), poll_seconds=1.0)
        self.addCleanup(monitor.stop)
        monitor.start()
        gevent.sleep(0)
        rate = 40 * engine_directory.INITIAL_BYTES_PER_POLL / monitor.poll_interval_seconds
        self.assertLessEqual(rate, engine_directory.POLL_BUDGET_BYTES_PER_SECOND + 1)


if __name__ == "__main__":
    unittest.main()
