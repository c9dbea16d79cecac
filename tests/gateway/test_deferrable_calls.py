"""Calls that can wait leave room to callers who wait for an answer."""

import unittest

import gevent

from runkeel.api.fleet import Backend
from runkeel.api.machines import Address
from runkeel.clock import steady_seconds
from runkeel.gateway.backends import BackendDirectory, choose_backend
from runkeel.gateway.deferrable_calls import (
    GROWTH_A_SECOND,
    LEAST_CALLS,
    SHRINK,
    SHRINK_PAUSE_SECONDS,
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
        self.places = 24
        self.limit = DeferrableLimit(lambda: self.places, lambda: self.now)

    def test_half_of_the_places(self):
        self.assertEqual(self.limit.limit, 12)

    def test_limit_follows_the_servers_that_are_in_use(self):
        self.places = 6
        self.assertEqual(self.limit.limit, 3)
        self.places = 0
        self.assertEqual(self.limit.limit, LEAST_CALLS)

    def test_full_servers_make_it_smaller_once_in_a_while(self):
        for _ in range(10):
            self.limit.note_refused()
        self.assertEqual(self.limit.limit, int(12 * SHRINK))
        self.now += SHRINK_PAUSE_SECONDS
        self.limit.note_refused()
        self.assertLess(self.limit.limit, int(12 * SHRINK))

    def test_it_grows_again(self):
        for _ in range(30):
            self.limit.note_refused()
            self.now += SHRINK_PAUSE_SECONDS
        small = self.limit.limit
        self.now += 0.5 / GROWTH_A_SECOND
        self.assertGreater(self.limit.limit, small)
        self.now += 1.0 / GROWTH_A_SECOND
        self.assertEqual(self.limit.limit, 12)

    def test_some_calls_are_always_let_through(self):
        for _ in range(200):
            self.limit.note_refused()
            self.now += SHRINK_PAUSE_SECONDS
        self.assertGreaterEqual(self.limit.limit, LEAST_CALLS)


class DeferrableCallsTest(unittest.TestCase):
    def setUp(self):
        self.directory = directory_of()
        self.calls = DeferrableCalls(self.directory)
        self.begun = []

    def call(self, name, seconds=0.02):
        with self.calls.place(SERVICE, steady_seconds() + FAR) as granted:
            self.begun.append((name, granted))
            self.most = max(getattr(self, "most", 0), self.calls.limit_of(SERVICE).under_way)
            gevent.sleep(seconds)

    def test_all_calls_are_made_in_the_order_in_which_they_came(self):
        gevent.joinall([gevent.spawn(self.call, number) for number in range(60)])
        self.assertEqual(self.begun, [(number, True) for number in range(60)])
        self.assertEqual(self.most, SERVERS * SLOTS // 2)
        self.assertEqual(self.calls.waiting(SERVICE), 0)

    def test_call_whose_time_is_over_leaves_the_others_their_turn(self):
        blockers = [gevent.spawn(self.call, n, 0.5) for n in range(SERVERS * SLOTS // 2)]
        gevent.sleep(0)
        with self.calls.place(SERVICE, steady_seconds() + 0.05) as granted:
            self.assertFalse(granted)
        after = gevent.spawn(self.call, "after")
        gevent.joinall([*blockers, after])
        self.assertEqual(self.begun[-1], ("after", True))

    def test_call_that_is_ended_while_it_waits_leaves_the_others_their_turn(self):
        blockers = [gevent.spawn(self.call, n, 0.2) for n in range(SERVERS * SLOTS // 2)]
        gevent.sleep(0)
        ended, after = gevent.spawn(self.call, "ended"), gevent.spawn(self.call, "after")
        gevent.sleep(0)
        ended.kill()
        gevent.joinall([*blockers, after])
        self.assertEqual(self.begun[-1], ("after", True))
        self.assertEqual(self.calls.limit_of(SERVICE).under_way, 0)

    def test_services_do_not_wait_for_each_other(self):
        blockers = [gevent.spawn(self.call, n, 0.2) for n in range(2 * SERVERS * SLOTS)]
        gevent.sleep(0)
        with self.calls.place("other", steady_seconds()) as granted:
            self.assertTrue(granted)
        gevent.killall(blockers)


class BurstTest(unittest.TestCase):
    """A hundred calls of scorers at once, as after a change of coordinator, beside callers.

    Callers that found no free place at their server, of 40 that came during the burst: 40 without
    the bound, 0 with it.
    """

    CALLS = 100
    CALLERS = 40

    def play(self, bounded):
        """Return how many callers found every place of their server taken."""
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
            with calls.place(SERVICE, steady_seconds() + FAR):
                run(choose_backend(scorers.candidates(SERVICE), set(), "here"), 0.2)

        tasks = [gevent.spawn(score) for _ in range(self.CALLS)]
        gevent.sleep(0)
        callers = directory_of()
        blocked = 0
        for _ in range(self.CALLERS):
            # Another node: it sees its own requests only.
            state = choose_backend(callers.candidates(SERVICE), set(), "here")
            blocked += running[state.backend_id] >= SLOTS
            gevent.sleep(0.004)
        gevent.joinall(tasks)
        return blocked

    def test_callers_find_room_beside_a_burst_of_scorers_calls(self):
        self.assertEqual(self.play(bounded=True), 0)

    def test_without_the_bound_they_find_none(self):
        self.assertGreater(self.play(bounded=False), self.CALLERS // 2)


if __name__ == "__main__":
    unittest.main()
