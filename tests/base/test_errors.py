import unittest

from runkeel.errors import ErrorCode, RunkeelError, Verdict, not_run


class ErrorTest(unittest.TestCase):
    def test_unknown_outcome_is_the_default(self):
        self.assertIs(RunkeelError(ErrorCode.INTERNAL).verdict, Verdict.MAY_HAVE_RUN)

    def test_not_run_keeps_retry_after(self):
        error = not_run(ErrorCode.MEMBER_LIMIT, "too many", retry_after_seconds=1.5)
        self.assertIs(error.verdict, Verdict.NOT_RUN)
        self.assertEqual(error.http_status, 429)
        self.assertEqual(error.retry_after_seconds, 1.5)
