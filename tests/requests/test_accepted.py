"""The owner's table of requests and its proofs."""

from __future__ import annotations

import unittest

from runkeel.errors import ErrorCode, RunkeelError, Verdict
from runkeel.requests.accepted import (
    OVERTAKEN_RETENTION_SECONDS,
    SETTLED_RETENTION_SECONDS,
    AcceptedRequests,
    RequestKey,
    RequestState,
)

KEY = RequestKey("r", 1)
OLD_PROCESS_SECONDS = 1_000.0


class AcceptedRequestsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.table = AcceptedRequests(capacity=4, clock=lambda: self.now)
        self.now = OLD_PROCESS_SECONDS

    def assert_refused(self, code: ErrorCode, verdict: Verdict, key=KEY) -> None:
        with self.assertRaises(RunkeelError) as caught:
            self.table.accept(key, repeatable=True)
        self.assertEqual((caught.exception.code, caught.exception.verdict), (code, verdict))

    def test_withdrawn_in_the_queue_is_never_sent(self) -> None:
        row = self.table.accept(KEY, True)
        woken = []
        row.on_withdraw = lambda: woken.append(True)
        self.assertIs(self.table.withdraw(KEY, 0.1), RequestState.WITHDRAWN)
        self.assertEqual(woken, [True])
        with self.assertRaises(RunkeelError) as caught:
            row.mark_sent()
        self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)

    def test_sent_and_finished_requests_are_not_withdrawn(self) -> None:
        row = self.table.accept(KEY, True)
        row.mark_sent()
        self.assertIs(self.table.withdraw(KEY, 0.1), RequestState.SENT)
        self.table.settle(row)
        self.assertIs(self.table.withdraw(KEY, 0.1), RequestState.FINISHED)
        self.assert_refused(ErrorCode.DUPLICATE_REQUEST, Verdict.MAY_HAVE_RUN)

    def test_withdrawal_that_overtakes_its_request_is_remembered(self) -> None:
        self.assertIs(self.table.withdraw(KEY, 0.1), RequestState.WITHDRAWN)
        self.now += OVERTAKEN_RETENTION_SECONDS - 1
        self.assert_refused(ErrorCode.WITHDRAWN, Verdict.NOT_RUN)

    def test_restarted_owner_proves_nothing_about_older_requests(self) -> None:
        self.assertIs(self.table.withdraw(KEY, OLD_PROCESS_SECONDS + 0.1), RequestState.UNKNOWN)
        young = AcceptedRequests(clock=lambda: self.now)
        self.assertIs(young.withdraw(KEY, 0.1), RequestState.UNKNOWN)

    def test_table_is_bounded_and_forgets_no_promise(self) -> None:
        for number in range(4):
            self.table.withdraw(RequestKey("w", number), 0.1)
        self.assertIs(self.table.withdraw(KEY, 0.1), RequestState.UNKNOWN)
        self.assert_refused(ErrorCode.QUEUE_FULL, Verdict.NOT_RUN)
        self.now += OVERTAKEN_RETENTION_SECONDS
        self.table.accept(KEY, True)
        self.assertEqual(len(self.table), 1)

    def test_settled_repeatable_requests_make_room(self) -> None:
        for number in range(10):
            row = self.table.accept(RequestKey("r", number), True)
            row.mark_sent()
            self.table.settle(row)
        self.assertEqual(len(self.table), 4)
        self.now += SETTLED_RETENTION_SECONDS
        self.table.accept(KEY, True)
        self.assertEqual(len(self.table), 1)


if __name__ == "__main__":
    unittest.main()
