import os
import tempfile
import unittest
from pathlib import Path

from runkeel.api.placement import PlacementPolicy
from runkeel.errors import ErrorCode
from runkeel.settings import SettingsError, load_settings

GOOD = """
[node]
id = "recife-1"
zone = "recife-galpao"
[cluster]
name = "food-bank"
key = "a shared secret"
seeds = ["127.0.0.1:7000"]
[platform]
object_api = "http://127.0.0.1:9000"
machine_list = "http://127.0.0.1:9001"
weight_store = "http://127.0.0.1:9002"
"""


class SettingsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def load(self, text, overrides=(), environment=None):
        path = self.folder / "node.toml"
        path.write_text(text)
        return load_settings(path, overrides, environment or {})

    def assert_refused(self, text, *parts, overrides=()):
        with self.assertRaises(SettingsError) as caught:
            self.load(text, overrides)
        self.assertIs(caught.exception.code, ErrorCode.BAD_SETTINGS)
        for part in parts:
            self.assertIn(part, caught.exception.detail)
        self.assertNotIn("\n", caught.exception.detail)

    def test_flags_win_over_environment_and_file(self):
        environment = {"RUNKEEL_LOGS__LEVEL": "debug", "RUNKEEL_LISTEN__HTTP": "127.0.0.1:1"}
        settings = self.load(GOOD, ["listen.http=127.0.0.1:2"], environment)
        self.assertEqual(settings.listen.http, "127.0.0.1:2")
        self.assertEqual(settings.logs.level, "debug")

    def test_unknown_key_names_file_and_key(self):
        self.assert_refused(GOOD + "[limits]\nmax_conections = 3\n", "node.toml", "max_conections")

    def test_wrong_type_names_what_was_found(self):
        self.assert_refused(
            GOOD, "limits.max_connections", "'many'", overrides=["limits.max_connections=many"]
        )

    def test_placement_is_least_loaded_unless_a_baseline_is_named(self):
        self.assertEqual(self.load(GOOD).requests.placement, PlacementPolicy.LEAST_LOADED)
        settings = self.load(GOOD, ["requests.placement=round_robin"])
        self.assertEqual(settings.requests.placement, PlacementPolicy.ROUND_ROBIN)
        self.assert_refused(
            GOOD, "requests.placement", "'fastest'", overrides=["requests.placement=fastest"]
        )

    def test_missing_key(self):
        self.assert_refused(GOOD.replace('zone = "recife-galpao"', ""), "node.zone", "missing")

    def test_bad_addresses(self):
        for address in ("localhost:80", "127.0.0.1", "127.0.0.1:99999", "127.0.0.300:1"):
            self.assert_refused(GOOD, "listen.http", address, overrides=[f"listen.http={address}"])

    def test_bad_platform_url(self):
        self.assert_refused(GOOD, "object_api", overrides=["platform.object_api=ftp://127.0.0.1:1"])

    def test_two_listeners_on_one_port(self):
        overrides = ["listen.http=127.0.0.1:7100", "listen.peer=127.0.0.1:7100"]
        self.assert_refused(GOOD, "listen", "both on 127.0.0.1:7100", overrides=overrides)

    def test_data_folder_that_cannot_be_written(self):
        blocker = self.folder / "file"
        blocker.write_text("")
        self.assert_refused(GOOD, "data_folder", overrides=[f"node.data_folder={blocker}/data"])

    def test_file_faults(self):
        self.assert_refused("[node", "not TOML")
        with self.assertRaises(SettingsError):
            load_settings(self.folder / "absent.toml", (), os.environ)
