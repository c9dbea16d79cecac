"""Deferrable calls leave slots free for interactive requests."""

import unittest

import gevent

from runkeel.api.fleet import Backend
from runkeel.api.machines import Address
from runkeel.clock import steady_seconds
from runkeel.gateway.backends import BackendDirectory, choose_backend
from runkeel.gateway.deferrable_calls import (
    DECREASE_FACTOR,
    GROWTH_PER_SECOND,
    MIN_CALLS,
    MIN_DECREASE_INTERVAL_SECONDS,
    DeferrableCalls,
    DeferrableLimit,
)

SERVICE = "ledger"
SERVERS = 4
SLOTS = 6
FAR = 60.0


def directory_of(count=SERVERS):
    directory = BackendDirectory()
    for number in range(count):
        directory.put(Backend(f"s{number}", SERVICE, Address("127.0.0.1", 1), "here", SLOTS))
    return directory


class DeferrableLimitTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.total_slots = 24
        self.limit = DeferrableLimit(lambda: self.total_slots, lambda: self.now)

    def test_limit_is_half_of_the_slots(self):
        self.assertEqual(self.limit.limit, 12)

    def test_limit_follows_the_usable_servers(self):
        self.total_slots = 6
        self.assertEqual(self.limit.limit, 3)
        self.total_slots = 0
        self.assertEqual(self.limit.limit, MIN_CALLS)

    def test_full_servers_decrease_the_limit_at_bounded_intervals(self):
        for _ in range(10):
            self.limit.record_refusal()
        self.assertEqual(self.limit.limit, int(12 * DECREASE_FACTOR))
        self.now += MIN_DECREASE_INTERVAL_SECONDS
        self.limit.record_refusal()
        self.assertLess(self.limit.limit, int(12 * DECREASE_FACTOR))

    def test_limit_grows_again(self):
        for _ in range(30):
            self.limit.record_refusal()
            self.now += MIN_DECREASE_INTERVAL_SECONDS
        small = self.limit.limit
        self.now += 0.5 / GROWTH_PER_SECOND
        self.assertGreater(self.limit.limit, small)
        self.now += 1.0 / GROWTH_PER_SECOND
        self.assertEqual(self.limit.limit, 12)

    def test_limit_never_falls_below_the_minimum(self):
        for _ in range(200):
            self.limit.record_refusal()
            self.now += MIN_DECREASE_INTERVAL_SECONDS
        self.assertGreaterEqual(self.limit.limit, MIN_CALLS)


class DeferrableCallsTest(unittest.TestCase):
    def setUp(self):
        self.directory = directory_of()
        self.calls = DeferrableCalls(self.directory)
        self.started = []

    def call(self, name, seconds=0.02):
        with self.calls.slot(SERVICE, steady_seconds() + FAR) as granted:
            self.started.append((name, granted))
            self.peak_in_flight = max(
                getattr(self, "peak_in_flight", 0), self.calls.limit_of(SERVICE).calls_in_flight
            )
            gevent.sleep(seconds)

    def test_calls_start_in_order_of_arrival(self):
        gevent.joinall([gevent.spawn(self.call, number) for number in range(60)])
        self.assertEqual(self.started, [(number, True) for number in range(60)])
        self.assertEqual(self.peak_in_flight, SERVERS * SLOTS // 2)
        self.assertEqual(self.calls.waiting(SERVICE), 0)

    def test_call_past_its_deadline_does_not_block_others(self):
        blockers = [gevent.spawn(self.call, n, 0.5) for n in range(SERVERS * SLOTS // 2)]
        gevent.sleep(0)
        with self.calls.slot(SERVICE, steady_seconds() + 0.05) as granted:
            self.assertFalse(granted)
        after = gevent.spawn(self.call, "after")
        gevent.joinall([*blockers, after])
        self.assertEqual(self.started[-1], ("after", True))

    def test_call_killed_while_waiting_does_not_block_others(self):
        blockers = [gevent.spawn(self.call, n, 0.2) for n in range(SERVERS * SLOTS // 2)]
        gevent.sleep(0)
        ended, after = gevent.spawn(self.call, "ended"), gevent.spawn(self.call, "after")
        gevent.sleep(0)
        ended.kill()
        gevent.joinall([*blockers, after])
        self.assertEqual(self.started[-1], ("after", True))
        self.assertEqual(self.calls.limit_of(SERVICE).calls_in_flight, 0)

    def test_services_have_independent_limits(self):
        blockers = [gevent.spawn(self.call, n, 0.2) for n in range(2 * SERVERS * SLOTS)]
        gevent.sleep(0)
        with self.calls.slot("other", steady_seconds()) as granted:
            self.assertTrue(granted)
        gevent.killall(blockers)


class BurstTest(unittest.TestCase):
    """A burst of scoring calls beside interactive requests.

    Guards against a burst that occupies every slot, as after a change of coordinator.
    """

    CALLS = 100
    CALLERS = 40

    def run_burst(self, bounded):
        """Return how many interactive requests found all slots of their server taken."""
        scorers = directory_of()
        calls = DeferrableCalls(scorers) if bounded else None
        running = dict.fromkeys((one.backend_id for one in scorers.all()), 0)

        def run(state, seconds):
            running[state.backend_id] += 1
            state.in_flight += 1
            gevent.sleep(seconds)
            state.in_flight -= 1
            running[state.backend_id] -= 1

        def score():
            if calls is None:
                run(choose_backend(scorers.candidates(SERVICE), set(), "here"), 0.2)
                return
            with calls.slot(SERVICE, steady_seconds() + FAR):
                run(choose_backend(scorers.candidates(SERVICE), set(), "here"), 0.2)

        tasks = [gevent.spawn(score) for _ in range(self.CALLS)]
        gevent.sleep(0)
        callers = directory_of()
        rejected = 0
        for _ in range(self.CALLERS):
            # At another node, which only counts its own requests.
            state = choose_backend(callers.candidates(SERVICE), set(), "here")
            rejected += running[state.backend_id] >= SLOTS
            gevent.sleep(0.004)
        gevent.joinall(tasks)
        return rejected

    def test_interactive_requests_find_slots_during_a_burst(self):
        self.assertEqual(self.run_burst(bounded=True), 0)

    def test_without_the_limit_most_requests_find_none(self):
        self.assertGreater(self.run_burst(bounded=False), self.CALLERS // 2)


if __name__ == "__main__":
    unittest.main()
