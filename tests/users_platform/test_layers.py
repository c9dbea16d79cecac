"""Only the adapter uses the platform's names; deployed libraries have the tested versions."""

import re
import unittest
from pathlib import Path

from runkeel_lab.users_platform import use_adapter

use_adapter()

from runkeel_platform import document_store, server_protocol  # noqa: E402

ROOT = Path(__file__).resolve().parents[2]
HEADERS = (
    server_protocol.REQUEST_ID,
    server_protocol.DEADLINE,
    server_protocol.STAMP,
    server_protocol.EXPECTED_INSTANCE,
    server_protocol.NOT_EXECUTED,
    server_protocol.LAST_EVENT_ID,
    server_protocol.WEIGHT_VERSIONS,
    server_protocol.PRIORITY_CLASS,
)
FIELDS = ("PathPrefix", "RouteType", "TrafficSplit", "FencingToken", "InternalPorts", "MinVersion")


def pinned_versions(path):
    lines = path.read_text().splitlines()
    return dict(line.split("==") for line in lines if re.fullmatch(r"[\w.-]+==[\w.]+", line))


class LayersTest(unittest.TestCase):
    def test_product_contains_no_names_of_the_platform(self):
        names = (*HEADERS, *FIELDS, *document_store._KIND_NAMES.values())
        names = [name for name in names if not name.islower() or "-" in name]
        for path in (ROOT / "src" / "runkeel").rglob("*.py"):
            text = path.read_text()
            found = [name for name in names if f'"{name}"' in text or f"'{name}'" in text]
            self.assertEqual(found, [], path)

    def test_product_does_not_import_the_adapter(self):
        for path in (ROOT / "src" / "runkeel").rglob("*.py"):
            self.assertNotIn("runkeel_platform", path.read_text(), path)

    def test_deployed_libraries_have_the_tested_versions(self):
        tested = pinned_versions(ROOT / "requirements.lock")
        deployed = pinned_versions(ROOT / "deploy" / "requirements.txt")
        self.assertGreater(len(deployed), 5)
        for name, version in deployed.items():
            self.assertEqual(tested.get(name), version, name)


if __name__ == "__main__":
    unittest.main()
