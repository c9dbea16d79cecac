"""One log line for all news of servers that come at once."""

import unittest
from unittest import mock

import gevent
from loguru import logger

from runkeel.gateway import directory_news
from runkeel.gateway.backends import BackendDirectory
from tests.gateway.test_backends import make_backend

MANY = 300
SERVICE = "news"


class DirectoryNewsTest(unittest.TestCase):
    def setUp(self):
        self.lines = []
        sink = logger.add(lambda message: self.lines.append(message.record["extra"]))
        self.addCleanup(logger.remove, sink)
        soon = mock.patch.object(directory_news, "GATHER_SECONDS", 0.02)
        soon.start()
        self.addCleanup(soon.stop)
        self.directory = BackendDirectory()

    def _told(self):
        """Return the lines on this test's servers; other tests' may be told meanwhile."""
        gevent.sleep(0.1)
        lines, self.lines = self.lines, []
        return [line for line in lines if f" {SERVICE} " in str(line)]

    def _put(self, name, **more):
        self.directory.put(make_backend(name, service=SERVICE, **more))

    def test_many_servers_at_once_are_one_line(self):
        """Large site: 15,300 of 32,700 lines of a day, one a node and server and change."""
        for number in range(MANY):
            self._put(f"s{number}")
        (line,) = self._told()
        self.assertEqual((line["joined_count"], len(line["joined"])), (MANY, directory_news.NAMES))

    def test_what_matters_to_a_decision_is_named(self):
        for name in ("a", "b", "c"):
            self._put(name)
        self._told()
        self._put("a", draining=True)
        self._put("c")
        self.directory.remove("b")
        (line,) = self._told()
        self.assertIn("a news", line["draining"][0])
        self.assertIn("b news", line["gone"][0])
        self.assertEqual((line["joined"], line["changed_count"]), ([], 1))

    def test_each_line_tells_what_is_new(self):
        self._put("a")
        self._told()
        self.directory.remove("a")
        (line,) = self._told()
        self.assertEqual((line["joined_count"], line["gone_count"]), (0, 1))


if __name__ == "__main__":
    unittest.main()
