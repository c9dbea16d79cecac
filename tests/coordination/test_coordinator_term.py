"""The order in which a term starts, is confirmed and stops."""

import unittest
from unittest import mock

import gevent

from runkeel import coordinator_term
from runkeel.coordinator_term import CoordinatorTerm

QUERY_SECONDS = 0.2


def slow_query(*arguments):
    gevent.sleep(QUERY_SECONDS)
    return {}


class CoordinatorTermTest(unittest.TestCase):
    def test_copies_are_not_resumed_after_the_term_has_stopped(self):
        """Guards against items that a replaced coordinator begins to run."""
        term = CoordinatorTerm.__new__(CoordinatorTerm)
        for name in ("jobs", "runners", "_output_sender", "_copy_sender", "_rollout"):
            setattr(term, name, mock.Mock())
        for name in ("_directory", "_protocol", "_services", "_placement"):
            setattr(term, name, mock.Mock())
        term._watchers, term.usage, term._startup_greenlet = [], None, None
        with mock.patch.object(coordinator_term, "query_versions", slow_query):
            term.start_tentatively([], [])
            gevent.sleep(QUERY_SECONDS / 4)
            term.start()
            term.stop()
            gevent.sleep(2 * QUERY_SECONDS)
        term.jobs.resume_from_copies.assert_not_called()


if __name__ == "__main__":
    unittest.main()
