"""Until when a follower relies on its copies, whatever delays the replies of the feed."""

import unittest

from runkeel.coordination.copy_deadline import (
    ASSUMED_COPY_AGE_SECONDS,
    ASSUMED_COPY_AGE_SHARE,
    CopyDeadline,
)
from runkeel.wire.generated.jobs.ttypes import FeedDocument, FeedPage, FeedReadReply, FeedState

MAX_AGE_SECONDS = 2.0
CHANGE = FeedPage("backend", 5, False, [FeedDocument("s1", 5, "{}")], [])
NEWER_REVISION = FeedPage("backend", 6, False, [], [])


def reply(confirmed_after_ms=None, pages=()):
    return FeedReadReply(FeedState.CURRENT, list(pages), None, 0, None, confirmed_after_ms)


class CopyDeadlineTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.deadline = CopyDeadline(MAX_AGE_SECONDS, lambda: self.now)

    def check_ends_at(self, seconds):
        self.assertAlmostEqual(self.now + self.deadline.remaining_seconds, seconds)

    def test_copies_that_were_never_confirmed_are_not_relied_on(self):
        self.assertEqual(self.deadline.remaining_seconds, 0.0)

    def test_reply_that_was_delayed_counts_from_when_it_was_requested(self):
        """Guards against copies that pass for newer the longer a link holds a reply back."""
        for delay_seconds in (0.0, 0.5, 1.5):
            with self.subTest(delay_seconds=delay_seconds):
                self.setUp()
                self.now += delay_seconds
                self.deadline.confirm(reply(-300), 100.0, 0.0)
                self.check_ends_at(100.0 - 0.3 + MAX_AGE_SECONDS)

    def test_held_reply_confirms_what_the_store_has_confirmed_while_it_was_held(self):
        self.now += 1.0
        self.deadline.confirm(reply(900), 100.0, 1.0)
        self.check_ends_at(100.9 + MAX_AGE_SECONDS)

    def test_reply_that_is_too_late_confirms_nothing(self):
        self.now += MAX_AGE_SECONDS + 0.1
        self.deadline.confirm(reply(0), 100.0, 0.0)
        self.assertEqual(self.deadline.remaining_seconds, 0.0)

    def test_reply_of_a_coordinator_with_an_older_copy_does_not_move_the_deadline_back(self):
        self.deadline.confirm(reply(0), 100.0, 0.0)
        self.deadline.confirm(reply(-900), 100.0, 0.0)
        self.check_ends_at(100.0 + MAX_AGE_SECONDS)

    def test_reply_without_an_age_does_not_pass_for_fresh(self):
        """Guards against an older build whose old copy counts as confirmed at the reply."""
        self.now += 1.0
        self.deadline.confirm(reply(pages=[NEWER_REVISION]), 100.0, 1.0)
        self.check_ends_at(101.0 - ASSUMED_COPY_AGE_SECONDS + MAX_AGE_SECONDS)

    def test_reply_without_an_age_that_has_changes_counts_from_its_request(self):
        """It need not have been held, so that a link may have delayed it all the time."""
        self.now += 1.0
        self.deadline.confirm(reply(pages=[CHANGE]), 100.0, 1.0)
        self.check_ends_at(100.0 - ASSUMED_COPY_AGE_SECONDS + MAX_AGE_SECONDS)

    def test_reply_without_an_age_that_came_before_the_end_of_its_hold(self):
        self.now += 0.2
        self.deadline.confirm(reply(), 100.0, 1.0)
        self.check_ends_at(100.2 - ASSUMED_COPY_AGE_SECONDS + MAX_AGE_SECONDS)

    def test_copies_of_an_older_build_are_relied_on_for_a_short_propagation_time(self):
        """Guards against nodes that all read the store while the coordinator is not upgraded."""
        deadline = CopyDeadline(0.8, lambda: self.now)
        deadline.confirm(reply(), 100.0, 0.0)
        self.assertAlmostEqual(deadline.remaining_seconds, 0.8 * (1 - ASSUMED_COPY_AGE_SHARE))


if __name__ == "__main__":
    unittest.main()
