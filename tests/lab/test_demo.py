"""The demonstration passes all checks, and reports a check that fails."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from runkeel_lab import demo


class DemoTest(unittest.TestCase):
    def _run(self, folder):
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            holds = demo.run_demo(Path(folder))
        return holds, printed.getvalue()

    def test_all_checks_pass(self):
        with tempfile.TemporaryDirectory() as folder:
            holds, printed = self._run(folder)
            self.assertTrue(holds, printed)
            self.assertNotIn("NO", printed)
            self.assertTrue((Path(folder) / "day.png").stat().st_size)

    def test_timeout_is_reported(self):
        with (
            tempfile.TemporaryDirectory() as folder,
            mock.patch.object(demo, "WAIT_TIMEOUT_SECONDS", 0.0),
        ):
            holds, printed = self._run(folder)
        self.assertFalse(holds)
        self.assertIn("not within", printed)


if __name__ == "__main__":
    unittest.main()
