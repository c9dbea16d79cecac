"""Rollout of versions to engines, and the resolution of unanswered orders."""

import json
import unittest

import gevent
from gevent.pywsgi import WSGIServer

from runkeel.api.backend_protocol import EngineOrderOutcome, EngineReport
from runkeel.api.fleet import Backend, RoutingConfiguration, ServiceDescription
from runkeel.api.machines import Address
from runkeel.backends.http_connection import OutgoingRequest
from runkeel.clock import steady_seconds
from runkeel.coordination.order_lease import OrderLease
from runkeel.coordination.rollout_plan import ModelDemand
from runkeel.coordination.version_rollout import LOAD_TIMEOUT_SECONDS, VersionRollout
from runkeel.errors import ErrorCode, may_have_run
from runkeel.gateway.backends import BackendDirectory
from runkeel_lab.standins.document_store import MemoryDocumentStore

SERVICE = "models"
WAIT_TIMEOUT_SECONDS = 15.0


class OrderProtocol:
    """Encodes orders and reports as JSON, for :class:`Engine`."""

    def encode_order(self, order, backend):
        body = {
            "model": order.model,
            "version": order.version,
            "holder": order.holder,
            "token": order.fencing_token,
            "sequence": order.expected_sequence,
        }
        return OutgoingRequest("POST", "/order", [], json.dumps(body).encode())

    def order_outcome(self, status):
        outcomes = {202: EngineOrderOutcome.ACCEPTED, 409: EngineOrderOutcome.CONFLICT}
        return outcomes.get(status, EngineOrderOutcome.REFUSED)

    def encode_report_query(self, backend):
        return OutgoingRequest("GET", "/report")

    def parse_report(self, body):
        report = json.loads(body)
        versions, start = report["versions"], report["start"]
        return EngineReport(report["sequence"], report["busy"], 0, 0, versions, start)


class UnreachableStore(MemoryDocumentStore):
    """A store whose writes time out with an unknown outcome while it is unreachable."""

    def __init__(self, timeout_seconds):
        super().__init__()
        self.timeout_seconds = timeout_seconds
        self.unreachable = False

    def replace(self, kind, name, content, revision):
        if self.unreachable:
            gevent.sleep(self.timeout_seconds)
            raise may_have_run(ErrorCode.STORE_OUTCOME_UNKNOWN, "no answer in time")
        return super().replace(kind, name, content, revision)


class Engine:
    """An engine that takes orders; it can leave orders unanswered and apply them late."""

    def __init__(self, backend_id, models, load_seconds=0.05):
        self.backend_id = backend_id
        self.versions = dict.fromkeys(models, 1)
        self.sequence = 0
        self.busy = False
        self.orders = []
        self.load_seconds = load_seconds
        self.answers_to_lose = 0
        self.late_order_seconds = 0.0
        self.start_id = ""
        self.server = WSGIServer(("127.0.0.1", 0), self._answer, log=None)
        self.server.start()

    @property
    def backend(self):
        address = Address("127.0.0.1", self.server.server_port)
        return Backend(self.backend_id, SERVICE, address, "zone", 8, False, {}, self.start_id)

    def restart(self, start_id, version):
        """Restart under the same id without any earlier state."""
        self.start_id, self.sequence, self.busy = start_id, 0, False
        self.versions = dict.fromkeys(self.versions, version)

    def _answer(self, environment, start_response):
        if environment["PATH_INFO"] == "/report":
            report = {
                "sequence": self.sequence,
                "busy": self.busy,
                "versions": self.versions,
                "start": self.start_id,
            }
            start_response("200 OK", [])
            return [json.dumps(report).encode()]
        order = json.loads(environment["wsgi.input"].read())
        self.orders.append(order)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            gevent.spawn_later(self.late_order_seconds, self._take, order)
            gevent.sleep(5.0)
            start_response("500 Lost", [])
            return [b""]
        status = "202 Accepted" if self._take(order) else "409 Conflict"
        start_response(status, [])
        return [b""]

    def _take(self, order):
        if self.busy or order["sequence"] != self.sequence:
            return False
        self.sequence += 1
        self.busy = True
        gevent.spawn_later(self.load_seconds, self._loaded, order)
        return True

    def _loaded(self, order):
        self.busy = False
        self.versions[order["model"]] = order["version"]


class VersionRolloutTest(unittest.TestCase):
    def _start(self, count, models=("m",), max_version_lag=0):
        self.engines = [Engine(f"engine-{n}", models) for n in range(count)]
        self.directory = BackendDirectory()
        for engine in self.engines:
            self.addCleanup(engine.server.stop, 0)
            self.directory.put(engine.backend)
        description = ServiceDescription(SERVICE, models=tuple(models), slots=8)
        configuration = RoutingConfiguration(1, (), {SERVICE: description})
        self.targets = {}
        self.minimum = {}
        self.items = None
        self.backlogged = False
        self.reached = []
        self.store = UnreachableStore(timeout_seconds=1.0)
        lease = OrderLease(self.store, "fleet", "node", 3.0)
        self.rollout = VersionRollout(
            self.directory,
            OrderProtocol(),
            lease,
            "node",
            lambda: configuration,
            self.targets,
            lambda model: ModelDemand(
                self.minimum.get(model, 0), max_version_lag, self.items, self.backlogged
            ),
            lambda backend_id, model, version: self.reached.append((backend_id, version)),
            lambda backend_id: 0,
        )
        self.rollout.start()
        self.addCleanup(self.rollout.stop)

    def _publish(self, version, model="m"):
        self.targets[model] = version
        self.rollout.wake()

    def _versions(self, model="m"):
        return sorted(engine.versions[model] for engine in self.engines)

    def _wait_versions(self, *expected):
        deadline = steady_seconds() + WAIT_TIMEOUT_SECONDS
        while self._versions() != sorted(expected):
            self.assertLess(steady_seconds(), deadline, self._versions())
            gevent.sleep(0.02)
        gevent.sleep(0.3)
        self.assertEqual(self._versions(), sorted(expected))

    def test_without_version_lag_every_engine_changes(self):
        self._start(4)
        self._publish(2)
        self._wait_versions(2, 2, 2, 2)
        self.assertEqual([len(engine.orders) for engine in self.engines], [1, 1, 1, 1])

    def test_with_a_lag_of_one_half_of_the_engines_change_per_version(self):
        self._start(4, max_version_lag=1)
        self._publish(2)
        self._wait_versions(1, 1, 2, 2)
        self._publish(3)
        self._wait_versions(2, 2, 3, 3)
        self._publish(4)
        self._wait_versions(3, 3, 4, 4)
        self.assertEqual(sum(len(engine.orders) for engine in self.engines), 6)

    def test_engines_that_jobs_no_longer_accept_change(self):
        self._start(4, max_version_lag=1)
        self.minimum["m"] = 2
        self._publish(2)
        self._wait_versions(2, 2, 2, 2)

    def test_only_engines_that_the_jobs_can_fill_change(self):
        """A large fleet must not change all its engines for jobs of a few items."""
        self._start(6)
        self.items = 4
        self._publish(2)
        self._wait_versions(1, 1, 1, 1, 2, 2)
        self._publish(3)
        self._wait_versions(1, 1, 1, 1, 3, 3)
        self.items = 32
        self._publish(4)
        self._wait_versions(1, 1, 1, 4, 4, 4)

    def test_more_engines_change_when_items_wait(self):
        self._start(6)
        self.items = 16
        self.backlogged = True
        self._publish(2)
        self._wait_versions(1, 2, 2, 2, 2, 2)

    def test_report_shows_the_outcome_of_an_unanswered_order(self):
        """An unanswered order may be applied late; it must not be sent a second time."""
        self._start(1)
        self.engines[0].answers_to_lose = 1
        self.engines[0].late_order_seconds = 0.2
        self._publish(2)
        self._wait_versions(2)
        self.assertEqual(len(self.engines[0].orders), 1)

    def test_unanswered_order_without_effect_is_sent_again(self):
        self._start(1)
        self.engines[0].answers_to_lose = 1
        self.engines[0].late_order_seconds = 60.0
        self._publish(2)
        self._wait_versions(2)
        orders = self.engines[0].orders
        self.assertEqual([order["sequence"] for order in orders], [0, 0])

    def _put_restarted(self, revision):
        self.directory.put(self.engines[0].backend, revision)

    def test_engine_restarted_with_an_older_version_changes_again(self):
        """The versions of an earlier incarnation must not suppress orders to a restarted engine."""
        self._start(1)
        self.engines[0].restart("1000", 1)
        self._put_restarted(1)
        self._publish(2)
        self._wait_versions(2)
        self.engines[0].restart("2000", 1)
        self._put_restarted(2)
        self._wait_versions(2)
        self.assertEqual([order["sequence"] for order in self.engines[0].orders], [0, 0])

    def test_report_of_another_incarnation_is_ignored(self):
        """The order sequence of another incarnation may match by chance."""
        self._start(1)
        self.engines[0].restart("1000", 1)
        self._put_restarted(1)
        before = self.directory.get("engine-0")
        self.engines[0].restart("2000", 1)
        self.assertIsNone(self.rollout._report(before))
        self.assertTrue(before.replaced)
        self.assertEqual(self.directory.get("engine-0").backend.start, "2000")
        self._publish(2)
        self._wait_versions(2)
        self.assertEqual(len(self.engines[0].orders), 1)

    def test_late_order_to_a_restarted_engine_does_not_keep_it_from_the_target(self):
        """A restarted engine may apply an order that was sent to its previous incarnation."""
        self._start(1)
        engine = self.engines[0]
        engine.restart("1000", 1)
        self._put_restarted(1)
        engine.answers_to_lose, engine.late_order_seconds = 1, 0.6
        self._publish(2)
        gevent.sleep(0.2)
        engine.restart("2000", 1)
        self._put_restarted(2)
        self._publish(3)
        self._wait_versions(3)
        late, *after = engine.orders
        self.assertEqual(late["version"], 2)
        self.assertEqual({order["version"] for order in after}, {3})

    def test_busy_engine_gets_no_order(self):
        """An engine that is still loading would refuse the order."""
        self._start(1)
        self.engines[0].busy = True
        self._publish(2)
        gevent.sleep(0.5)
        self.assertEqual(self.engines[0].orders, [])
        self.engines[0].busy = False
        self._wait_versions(2)
        self.assertEqual(len(self.engines[0].orders), 1)

    def test_load_that_takes_long_is_waited_for_while_the_engine_is_busy(self):
        self._start(1)
        self.engines[0].load_seconds = LOAD_TIMEOUT_SECONDS + 1.0
        self._publish(2)
        self._wait_versions(2)
        deadline = steady_seconds() + WAIT_TIMEOUT_SECONDS
        while not self.reached:
            self.assertLess(steady_seconds(), deadline)
            gevent.sleep(0.02)
        self.assertEqual(len(self.engines[0].orders), 1)

    def test_only_the_model_that_changes_is_loading(self):
        self._start(1, models=("m", "other"))
        self.engines[0].load_seconds = 0.6
        self._publish(2)
        gevent.sleep(0.3)
        self.assertTrue(self.rollout.is_loading("engine-0", "m"))
        self.assertFalse(self.rollout.is_loading("engine-0", "other"))

    def test_orders_resume_soon_after_a_store_outage(self):
        """The pause that bounds processor time must not count waits for the store."""
        self._start(1)
        self._publish(2)
        self._wait_versions(2)
        self.store.unreachable = True
        self._publish(3)
        gevent.sleep(1.2)
        self.store.unreachable = False
        back_at = steady_seconds()
        self._wait_versions(3)
        self.assertLess(steady_seconds() - back_at, 3.0)


if __name__ == "__main__":
    unittest.main()
