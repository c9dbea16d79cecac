"""Servers that restart under the same id: no state of an incarnation is applied to the next.

The start of a server is the value that identifies its incarnation among those of the same id.
"""

import unittest
from unittest import mock

import gevent
from gevent.server import StreamServer

from runkeel.api.fleet import Backend
from runkeel.api.machines import Address
from runkeel.backends.http_connection import OutgoingRequest
from runkeel.clock import steady_seconds
from runkeel.errors import RunkeelError, Verdict
from runkeel.gateway import backends
from runkeel.gateway.backends import MAX_UNREADABLE_ENTRIES, BackendDirectory
from runkeel.gateway.incarnation_tracker import MAX_PREVIOUS_STARTS

SERVICE = "ledger"
ADDRESS = Address("127.0.0.1", 1)
NAME = "server-1"


def make_backend(reported_start="", orders=None, address=ADDRESS, **fields):
    return Backend(
        NAME, SERVICE, address, "here", 8, start=reported_start, orders_accepted=orders, **fields
    )


class IncarnationTrackerTest(unittest.TestCase):
    def setUp(self):
        self.directory = BackendDirectory()
        self.ended_states = []
        self.directory.on_incarnation_end(self.ended_states.append)
        self.revision = 0

    def put(self, backend):
        self.revision += 1
        return self.directory.put(backend, self.revision)

    def state(self):
        return self.directory.get(NAME)

    def test_restarted_server_is_used_at_once(self):
        """Guards against a restarted server that is avoided forever."""
        self.put(make_backend("1000"))
        old_state = self.state()
        old_state.mark_ended()
        for _ in range(50):
            old_state.record_call_failure()
        self.put(make_backend("2000"))
        self.assertFalse(self.state().avoided(steady_seconds()))
        self.assertEqual((self.state().failures, self.state().in_flight), (0, 0))
        self.assertEqual(self.directory.of_service(SERVICE), [self.state()])
        self.assertEqual(self.ended_states, [old_state])
        self.assertTrue(old_state.ended)

    def test_earlier_start_is_a_new_incarnation(self):
        """The clock of the server's machine may jump back; the entry's revision decides."""
        self.put(make_backend("2000"))
        self.put(make_backend("1000"))
        self.assertEqual(self.state().backend.start, "1000")

    def test_late_update_of_a_previous_incarnation_is_ignored(self):
        self.put(make_backend("1000"))
        self.put(make_backend("2000"))
        self.assertFalse(self.put(make_backend("1000", draining=True)))
        self.assertEqual(self.state().backend.start, "2000")
        self.assertTrue(self.state().backend.accepts_work)
        self.assertEqual(len(self.ended_states), 1)

    def test_number_of_remembered_starts_is_bounded(self):
        for number in range(3 * MAX_PREVIOUS_STARTS):
            self.put(make_backend(str(1000 + number)))
        known = self.directory._starts._known[NAME]
        self.assertEqual(len(known.previous), MAX_PREVIOUS_STARTS)

    def test_update_of_the_same_incarnation_keeps_the_state(self):
        self.put(make_backend("1000", orders=1))
        old_state = self.state()
        old_state.record_call_failure()
        self.put(make_backend("1000", orders=5, model_versions={"m": 2}))
        self.assertIs(self.state(), old_state)
        self.assertEqual((old_state.failures, old_state.backend.model_versions), (1, {"m": 2}))

    def test_update_without_a_start_keeps_the_state(self):
        self.put(make_backend())
        old_state = self.state()
        self.put(make_backend(draining=True))
        self.assertIs(self.state(), old_state)
        self.assertEqual(old_state.incarnation, NAME)

    def test_decreasing_count_of_orders_is_a_new_incarnation(self):
        self.put(make_backend(orders=7))
        old_state = self.state()
        self.put(make_backend(orders=7))
        self.assertIs(self.state(), old_state)
        self.put(make_backend(orders=0))
        self.assertIsNot(self.state(), old_state)
        self.assertNotEqual(self.state().incarnation, old_state.incarnation)

    def test_other_address_is_a_new_incarnation(self):
        """Guards against connections to the old address, where another server may listen."""
        self.put(make_backend())
        old_state = self.state()
        self.put(make_backend(address=Address("127.0.0.1", 2)))
        self.assertIsNot(self.state(), old_state)
        self.assertEqual(self.state().backend.address.port, 2)

    def test_first_reported_start_is_a_new_incarnation(self):
        self.put(make_backend())
        self.put(make_backend("1000"))
        self.assertEqual(len(self.ended_states), 1)

    def test_response_reveals_a_new_incarnation_before_the_entry(self):
        self.put(make_backend("1000", orders=4, model_versions={"m": 3}))
        old_state = self.state()
        self.directory.record_reported_start(old_state, "2000")
        self.assertEqual(self.state().backend.start, "2000")
        self.assertEqual(self.state().backend.model_versions, {})
        self.assertFalse(self.put(make_backend("1000", orders=4)))
        current = self.state()
        self.put(make_backend("2000", orders=0, model_versions={"m": 1}))
        self.assertIs(self.state(), current)
        self.assertEqual(current.backend.model_versions, {"m": 1})

    def test_response_of_a_previous_incarnation_is_ignored(self):
        self.put(make_backend("1000"))
        old_state = self.state()
        self.put(make_backend("2000"))
        current = self.state()
        self.directory.record_reported_start(old_state, "1000")
        self.directory.record_reported_start(current, "1000")
        self.assertIs(self.state(), current)

    def test_response_is_ignored_if_the_entry_reports_no_start(self):
        self.put(make_backend())
        old_state = self.state()
        self.directory.record_reported_start(old_state, "1000")
        self.assertIs(self.state(), old_state)

    def test_removed_server_that_returns_is_new(self):
        self.put(make_backend("1000"))
        self.directory.remove(NAME)
        self.assertTrue(self.put(make_backend("1000")))
        self.assertEqual(len(self.directory.of_service(SERVICE)), 1)

    def test_find_by_the_name_from_another_node(self):
        self.put(make_backend("1000"))
        self.assertIs(self.directory.find(f"{NAME}@1000"), self.state())
        for other in (f"{NAME}@2000", NAME, "nobody"):
            self.assertIsNone(self.directory.find(other), other)

    def test_incarnation_with_an_inferred_start_is_found_by_the_name_of_another_node(self):
        self.put(make_backend(orders=2))
        # An inferred start is "r" and the revision at which that node inferred it.
        self.assertIs(self.directory.find(f"{NAME}@r17"), self.state())
        self.put(make_backend(orders=1))
        self.assertIs(self.directory.find(NAME), self.state())

    def test_ended_server_is_retried_after_a_while(self):
        """Guards against a server that restarts without reporting it and never gets work."""
        self.put(make_backend())
        self.state().mark_ended()
        self.assertTrue(self.state().avoided(steady_seconds()))
        with mock.patch.object(backends, "ENDED_RETRY_SECONDS", 0.0):
            self.assertFalse(self.state().avoided(steady_seconds()))


class PendingRequestsTest(unittest.TestCase):
    """Pending requests to a previous incarnation fail once the next one is known."""

    def setUp(self):
        self.accepted = []
        listener = StreamServer(("127.0.0.1", 0), self._hold)
        listener.start()
        self.addCleanup(listener.stop)
        self.address = Address(*listener.address)
        self.directory = BackendDirectory()
        self.directory.put(make_backend("1000", address=self.address), 1)

    def _hold(self, sock, peer):
        self.accepted.append(sock)
        gevent.sleep(30.0)

    def test_pending_requests_to_the_previous_incarnation_fail_at_once(self):
        state = self.directory.get(NAME)

        def send_request():
            try:
                state.pool.request(OutgoingRequest("GET", "/"), steady_seconds() + 20.0)
            except RunkeelError as error:
                return error
            return None

        requests = [gevent.spawn(send_request) for _ in range(3)]
        with gevent.Timeout(10.0):
            while len(self.accepted) < 3:
                gevent.sleep(0.01)
            self.directory.put(make_backend("2000", address=self.address), 2)
            gevent.joinall(requests)
        self.assertEqual([task.value.verdict for task in requests], [Verdict.MAY_HAVE_RUN] * 3)

    def test_no_request_is_sent_through_a_replaced_state(self):
        state = self.directory.get(NAME)
        self.directory.put(make_backend("2000", address=self.address), 2)
        with self.assertRaises(RunkeelError) as caught:
            state.pool.request(OutgoingRequest("GET", "/"), steady_seconds() + 5.0)
        self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)
        self.assertEqual(self.accepted, [])


class UnreadableEntryTest(unittest.TestCase):
    def setUp(self):
        self.directory = BackendDirectory()
        self.directory.put(make_backend("1000"), 1)

    def test_server_gets_no_work_while_its_entry_is_unreadable(self):
        old_state = self.directory.get(NAME)
        self.directory.mark_unreadable(NAME, "Slots: not a whole number")
        self.assertEqual(self.directory.of_service(SERVICE), [])
        self.assertFalse(old_state.replaced)
        self.directory.put(make_backend("1000"), 3)
        self.assertEqual(self.directory.of_service(SERVICE), [old_state])

    def test_unreadable_entry_of_an_unknown_server_is_kept_for_operators(self):
        self.directory.mark_unreadable("other", "State: missing")
        self.assertEqual(dict(self.directory.unreadable), {"other": "State: missing"})
        self.directory.remove("other")
        self.assertFalse(self.directory.unreadable)

    def test_number_of_unreadable_entries_is_bounded(self):
        for number in range(MAX_UNREADABLE_ENTRIES + 10):
            self.directory.mark_unreadable(f"other-{number}", "State: missing")
        self.assertEqual(len(self.directory.unreadable), MAX_UNREADABLE_ENTRIES)


if __name__ == "__main__":
    unittest.main()
