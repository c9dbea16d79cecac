"""Changes of servers are batched into one log line."""

import unittest
from unittest import mock

import gevent
from loguru import logger

from runkeel.gateway import backend_change_log
from runkeel.gateway.backends import BackendDirectory
from tests.gateway.test_backends import make_backend

MANY = 300
SERVICE = "batched"


class BackendChangeLogTest(unittest.TestCase):
    def setUp(self):
        self.lines = []
        sink = logger.add(lambda message: self.lines.append(message.record["extra"]))
        self.addCleanup(logger.remove, sink)
        short_batch = mock.patch.object(backend_change_log, "BATCH_SECONDS", 0.02)
        short_batch.start()
        self.addCleanup(short_batch.stop)
        self.directory = BackendDirectory()

    def _logged(self):
        """Return the lines about this test's servers; other tests may log some as well."""
        gevent.sleep(0.1)
        lines, self.lines = self.lines, []
        return [line for line in lines if f" {SERVICE} " in str(line)]

    def _put(self, name, **more):
        self.directory.put(make_backend(name, service=SERVICE, **more))

    def test_many_servers_at_once_are_one_line(self):
        """Guards against a log line for every single change of a server."""
        for number in range(MANY):
            self._put(f"s{number}")
        (line,) = self._logged()
        self.assertEqual(
            (line["joined_count"], len(line["joined"])), (MANY, backend_change_log.MAX_LISTED)
        )

    def test_joined_draining_and_gone_servers_are_listed(self):
        for name in ("a", "b", "c"):
            self._put(name)
        self._logged()
        self._put("a", draining=True)
        self._put("c")
        self.directory.remove("b")
        (line,) = self._logged()
        self.assertIn("a batched", line["draining"][0])
        self.assertIn("b batched", line["gone"][0])
        self.assertEqual((line["joined"], line["changed_count"]), ([], 1))

    def test_each_line_contains_only_new_changes(self):
        self._put("a")
        self._logged()
        self.directory.remove("a")
        (line,) = self._logged()
        self.assertEqual((line["joined_count"], line["gone_count"]), (0, 1))


if __name__ == "__main__":
    unittest.main()
