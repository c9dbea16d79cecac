"""The order lease has one holder at a time, with a pause between two holders."""

import unittest
from unittest import mock

from runkeel.api.documents import DocumentKind
from runkeel.coordination import order_lease
from runkeel.coordination.order_lease import (
    CONFIRMATION_REUSE_SECONDS,
    MARGIN_SECONDS,
    VALIDITY_SECONDS,
    OrderLease,
)
from runkeel.errors import RunkeelError
from runkeel_lab.standins.document_store import MemoryDocumentStore, StoreFault
from tests.suspension import suspended_for

PAUSE = 3.0
FULL_PAUSE = PAUSE + VALIDITY_SECONDS + MARGIN_SECONDS


class Clock:
    """Replaces the steady clock of the lease's module."""

    def __init__(self):
        self.now = 100.0

    def steady_seconds(self):
        return self.now


class OrderLeaseTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        patch = mock.patch.object(order_lease, "steady_seconds", self.clock.steady_seconds)
        patch.start()
        self.addCleanup(patch.stop)
        self.store = MemoryDocumentStore()

    def _lease(self, holder):
        return OrderLease(self.store, "fleet", holder, PAUSE)

    def test_first_holder_may_order_at_once(self):
        lease = self._lease("a")
        lease.confirm()
        lease.check()
        self.assertEqual(lease.token, 1)

    def test_no_order_without_a_recent_confirmation(self):
        lease = self._lease("a")
        lease.confirm()
        self.clock.now += VALIDITY_SECONDS + 0.01
        with self.assertRaises(RunkeelError):
            lease.check()
        lease.confirm()
        lease.check()

    def test_recent_confirmation_is_reused(self):
        """Orders in quick succession must not each cost a call to the store."""
        lease = self._lease("a")
        lease.confirm()
        revision = self.store.revision
        self.clock.now += CONFIRMATION_REUSE_SECONDS / 2
        lease.confirm()
        lease.check()
        self.assertEqual(self.store.revision, revision)
        self.clock.now += CONFIRMATION_REUSE_SECONDS
        lease.confirm()
        self.assertGreater(self.store.revision, revision)
        self.clock.now += VALIDITY_SECONDS
        lease.check()

    def test_end_of_the_pause_is_stored(self):
        self._lease("a").confirm()
        lease = self._lease("b")
        lease.confirm()
        self.clock.now += FULL_PAUSE + 0.01
        lease.confirm()
        self.clock.now += CONFIRMATION_REUSE_SECONDS / 2
        lease.confirm()
        lease.check()
        self.assertEqual(self.store.get(DocumentKind.ORDER_LEASE, "fleet").content["pause"], 0.0)

    def test_holder_that_was_stalled_sends_nothing(self):
        first, second = self._lease("a"), self._lease("b")
        first.confirm()
        second.confirm()
        self.clock.now += 10.0
        with self.assertRaises(RunkeelError):
            first.check()
        with self.assertRaises(RunkeelError):
            first.confirm()

    def test_second_holder_waits_and_has_a_higher_token(self):
        first, second = self._lease("a"), self._lease("b")
        first.confirm()
        second.confirm()
        self.assertGreater(second.token, first.token)
        with self.assertRaises(RunkeelError):
            second.check()
        self.assertAlmostEqual(second.seconds_until_orders(), FULL_PAUSE)
        self.clock.now += FULL_PAUSE
        second.confirm()
        second.check()

    def test_pause_counts_from_the_confirmation_that_was_observed(self):
        first, second = self._lease("a"), self._lease("b")
        first.confirm()
        self.clock.now += 2.0
        second.observe(*first.confirmation)
        self.clock.now += 1.0
        second.confirm()
        self.assertAlmostEqual(second.seconds_until_orders(), FULL_PAUSE - 3.0)

    def test_observation_of_an_older_confirmation_is_not_used(self):
        first, second = self._lease("a"), self._lease("b")
        first.confirm()
        second.observe(*first.confirmation)
        self.clock.now += 1.0
        first.confirm()
        second.confirm()
        self.assertAlmostEqual(second.seconds_until_orders(), FULL_PAUSE)

    def test_lost_answer_to_a_takeover_does_not_shorten_the_pause(self):
        first, second = self._lease("a"), self._lease("b")
        first.confirm()
        self.store.fail_next_write(StoreFault.RESPONSE_LOST)
        with self.assertRaises(RunkeelError):
            second.confirm()
        self.clock.now += 1.0
        second.confirm()
        self.assertAlmostEqual(second.seconds_until_orders(), FULL_PAUSE)

    def test_restart_during_the_pause_waits_again(self):
        self._lease("a").confirm()
        self._lease("b").confirm()
        restarted = self._lease("b")
        restarted.confirm()
        self.assertAlmostEqual(restarted.seconds_until_orders(), FULL_PAUSE)

    def test_restart_after_the_pause_may_order_at_once(self):
        self._lease("a").confirm()
        second = self._lease("b")
        second.confirm()
        self.clock.now += FULL_PAUSE
        second.confirm()
        restarted = self._lease("b")
        restarted.confirm()
        restarted.check()
        self.assertEqual(restarted.token, second.token)

    def test_lost_answer_to_a_confirmation_is_recovered(self):
        lease = self._lease("a")
        lease.confirm()
        self.clock.now += CONFIRMATION_REUSE_SECONDS + 0.01
        self.store.fail_next_write(StoreFault.RESPONSE_LOST)
        with self.assertRaises(RunkeelError):
            lease.confirm()
        lease.confirm()
        lease.check()
        self.assertEqual(self.store.names(DocumentKind.ORDER_LEASE), ["fleet"])


class SuspendedHolderTest(unittest.TestCase):
    """Another node may have sent orders while a machine was suspended."""

    def test_holder_that_was_suspended_sends_nothing_until_it_has_confirmed(self):
        lease = OrderLease(MemoryDocumentStore(), "fleet", "a", PAUSE)
        lease.confirm()
        lease.check()
        with suspended_for(5.0):
            with self.assertRaises(RunkeelError):
                lease.check()
            lease.confirm()
            lease.check()


if __name__ == "__main__":
    unittest.main()
