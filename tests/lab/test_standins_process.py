import json
import signal
import subprocess
import sys
import tempfile
import unittest
import zlib
from pathlib import Path

from geventhttpclient import HTTPClient

from runkeel_lab.standins.benchmark import Load, write_config
from runkeel_lab.standins.process import ProcessConfig, StandInGroup, load_config

SOURCE_FOLDER = Path(__file__).parents[2] / "src"
CONFIG = """
[[standin]]
kind = "weight_store"
id = "weights"
options = {{ models = {{ allocation = [1, 2] }}, load_ms = 10 }}

[[standin]]
kind = "engine"
id = "engine-1"
pool = "allocation"
options = {{ weight_store = "@weights", journal = "{journal}", base_ms = 1.0 }}
"""


class ProcessTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.journal = Path(folder.name) / "engine.jsonl"
        self.config_path = Path(folder.name) / "standins.toml"
        self.config_path.write_text(CONFIG.format(journal=self.journal))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "runkeel_lab.standins.process", str(self.config_path)],
            stdout=subprocess.PIPE,
            env={"PYTHONPATH": str(SOURCE_FOLDER)},
        )
        self.addCleanup(self._end)
        self.ready = json.loads(self.process.stdout.readline())

    def _end(self):
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()

    def _post(self, address, path, body):
        client = HTTPClient.from_url(f"http://{address}")
        self.addCleanup(client.close)
        return client.post(path, body=json.dumps(body).encode())

    def test_journal_survives_a_kill_in_mid_stream(self):
        address = self.ready["standins"]["engine-1"]["address"]
        completion = {
            "request_id": "r1",
            "model": "allocation",
            "prompt": "rice",
            "max_tokens": 100_000,
        }
        response = self._post(address, "/v1/completions", completion)
        first = json.loads(response.readline(b"\n").removeprefix(b"data: "))
        self.assertEqual(first["token_ids"], [zlib.crc32(b"allocation|1|rice|0") % 50_000])
        self.process.kill()
        self.process.wait()
        events = [json.loads(line)["event"] for line in self.journal.read_text().splitlines()]
        self.assertEqual(events, ["up", "received", "started"])

    def test_sigterm_ends_with_status_zero(self):
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.process.wait(10), 0)

    def test_control_face_revives_a_crashed_engine(self):
        address = self.ready["standins"]["engine-1"]["address"]
        fault_path = "/standins/engine-1/fault"
        self._post(self.ready["control"], fault_path, {"kind": "crash"}).read()
        with self.assertRaises(OSError):
            self._post(address, "/v1/completions", {})
        self._post(self.ready["control"], fault_path, {"kind": "clear"}).read()
        self.assertEqual(self._post(address, "/v1/completions", {}).status_code, 400)


class ConfigTest(unittest.TestCase):
    def test_unknown_key_and_kind_are_refused(self):
        for entry in (
            {"kind": "engine", "id": "e", "colour": 1},
            {"kind": "printer", "id": "p"},
            {"kind": "engine", "id": "e", "listen": "here"},
        ):
            with self.subTest(entry=entry), self.assertRaises(ValueError):
                ProcessConfig.model_validate({"standin": [entry]})

    def test_unknown_option_stops_the_start(self):
        entry = {"kind": "scorer", "id": "s", "options": {"colour": 1}}
        group = StandInGroup(ProcessConfig.model_validate({"standin": [entry]}))
        with self.assertRaises(ValueError):
            group.start()

    def test_benchmark_writes_a_file_that_loads(self):
        load = Load(2, 1, 1, 0.0, 8, 8.0, 1.0)
        with tempfile.TemporaryDirectory() as folder:
            config = load_config(write_config(load, Path(folder)))
        self.assertEqual([entry.kind for entry in config.standin].count("engine"), 2)

    def test_file_without_standins_is_refused(self):
        with tempfile.NamedTemporaryFile(suffix=".toml") as file, self.assertRaises(ValueError):
            load_config(file.name)
