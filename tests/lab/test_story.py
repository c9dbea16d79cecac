"""Timeline of an id from log lines."""

import json
import tempfile
import unittest
from pathlib import Path

from runkeel_lab.story import collect_story, format_story, read_lines

LINES = [
    {"time": 1.0, "node": "e1", "code": "job_accepted", "message": "job accepted", "job": "j1"},
    {"time": 2.0, "node": "c", "code": "item_run", "message": "run", "request": "i1", "job": "j1"},
    {"time": 2.1, "node": "c", "code": "item_run", "message": "run", "request": "i2", "job": "j1"},
    {"time": 2.5, "node": "c", "code": "store_lost", "message": "store lost"},
    {"time": 3.0, "node": "c", "code": "job_ended", "message": "job ended", "job": "j1"},
    {"time": 9.0, "node": "c", "code": "store_lost", "message": "store lost"},
    {"time": 9.5, "node": "c", "code": "job_ended", "message": "job ended", "job": "j2"},
]


class StoryTest(unittest.TestCase):
    def _read(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.log"
            texts = [f"  {line['time']} node {json.dumps(line)}" for line in reversed(LINES)]
            path.write_text("\n".join(["no json", "{broken", *texts]))
            return read_lines([path])

    def test_lines_are_sorted_by_time(self):
        self.assertEqual(
            [line["time"] for line in self._read()], [1.0, 2.0, 2.1, 2.5, 3.0, 9.0, 9.5]
        )

    def test_item_with_its_job_and_concurrent_events(self):
        story = collect_story(self._read(), "i1")
        self.assertEqual([line["time"] for line in story], [1.0, 2.0, 2.5, 3.0])

    def test_unknown_id(self):
        self.assertEqual(collect_story(self._read(), "none"), [])
        self.assertIn("no log line mentions this id", format_story([]))

    def test_format(self):
        text = format_story(collect_story(self._read(), "j1"))
        self.assertEqual(len(text.splitlines()), 5)
        self.assertIn("job accepted", text.splitlines()[0])


if __name__ == "__main__":
    unittest.main()
