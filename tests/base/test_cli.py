import contextlib
import io
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import runkeel
from runkeel import cli
from tests.base.test_settings import GOOD


class CommandLineTest(unittest.TestCase):
    def run_cli(self, *arguments):
        output, errors = io.StringIO(), io.StringIO()
        with (
            mock.patch("sys.argv", ["runkeel", *arguments]),
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(errors),
            self.assertRaises(SystemExit) as caught,
        ):
            cli.main()
        return caught.exception.code, output.getvalue(), errors.getvalue()

    def check(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.toml"
            path.write_text(text)
            return self.run_cli("check-settings", str(path))

    def test_good_settings_print_nothing(self):
        self.assertEqual(self.check(GOOD), (0, "", ""))

    def test_bad_settings_are_one_line_and_exit_code_2(self):
        code, output, errors = self.check(GOOD + "[listen]\nhtpp = 1\n")
        self.assertEqual((code, output, errors.count("\n")), (2, "", 1))
        self.assertIn("listen.htpp", errors)

    def test_wrong_usage_is_exit_code_2(self):
        self.assertEqual(self.run_cli("nod")[0], 2)

    def test_version(self):
        code, output, _ = self.run_cli("--version")
        self.assertEqual((code, output.strip()), (0, f"runkeel {runkeel.__version__}"))

    def test_unreachable_node_is_exit_code_4(self):
        code, _, errors = self.run_cli("ctl", "show nodes", "--node", "http://127.0.0.1:1")
        self.assertEqual(code, 4)
        self.assertIn("peer_unreachable", errors)
