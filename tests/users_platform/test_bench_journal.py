"""Tables and charts of benchmark journal entries."""

import json
import tempfile
import unittest
from pathlib import Path

from runkeel_lab.users_platform.bench_journal import format_entries, plot_entries, read_entry


def day(name, slot, worth, rules=None):
    prices = [["cloud calls", 10, 0.02], ["orders", 1, 0.01]]
    return {"name": name, "slot": slot, "G": worth, "prices": prices, "rules": rules or {}}


class BenchJournalTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def _entry(self, entry_id, *days):
        path = self.folder / f"{entry_id}.json"
        path.write_text(json.dumps({"id": entry_id, "site": "s", "why": "w", "days": days}))
        return read_entry(path)

    def test_mean_covers_standard_days_that_are_not_calm(self):
        entry = self._entry(
            "a",
            day("quiet-1", "quiet", 0.9),
            day("trouble-1", "trouble", 0.5),
            day("scale-1", "scale", 0.7),
            day("fresh-a", "trouble", 0.1),
        )
        self.assertAlmostEqual(entry.mean_non_calm_worth, 0.6)
        self.assertAlmostEqual(entry.days[0].prices, 0.03)

    def test_table_and_chart(self):
        first = self._entry("a", day("trouble-1", "trouble", 0.5, {"LOST": 2}))
        second = self._entry("b", day("trouble-1", "trouble", 0.7), day("scale-1", "scale", 0.6))
        table = format_entries([first, second]).splitlines()
        self.assertIn("0.500!         -     0.500", table[1])
        self.assertIn("0.700     0.600      0.650", table[2])
        plot_entries([first, second], self.folder / "worth.png")
        self.assertGreater((self.folder / "worth.png").stat().st_size, 1_000)

    def test_other_files_are_rejected(self):
        path = self.folder / "x.json"
        path.write_text("{}")
        with self.assertRaises(ValueError):
            read_entry(path)


if __name__ == "__main__":
    unittest.main()
