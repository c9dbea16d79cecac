"""Simultaneous requests at one node are spread over all servers.

Guards against overloading the servers of the node's own zone while others are idle.
"""

import unittest

import gevent

from runkeel.api.backend_protocol import ForwardedRequest
from runkeel.api.fleet import Backend
from runkeel.api.machines import Address
from runkeel.clock import steady_seconds
from runkeel.gateway.backends import BackendDirectory
from runkeel.gateway.forwarder import Forwarder
from runkeel.usage.meter import UsageMeter
from tests.gateway.scripted_servers import SERVICE, ScriptedPool, StatusProtocol, after
from tests.gateway.test_forwarder import make_route
from tests.standalone_quarantine import standalone_quarantine

SERVERS = 10
NEAR = 3
SLOTS = 6
REQUESTS = 40


class BurstTest(unittest.TestCase):
    def setUp(self):
        self.directory = BackendDirectory()
        self.pools = []
        for number in range(SERVERS):
            zone = "here" if number < NEAR else "there"
            address = Address("127.0.0.1", 1)
            self.directory.put(Backend(f"s{number}", SERVICE, address, zone, SLOTS))
            pool = ScriptedPool(*[after(0.05, 200)] * REQUESTS)
            self.directory.get(f"s{number}").pool = pool
            self.pools.append(pool)
        meter = UsageMeter(5.0, lambda: 1_000.0)
        self.forwarder = Forwarder(
            self.directory, StatusProtocol(), "here", meter, standalone_quarantine()
        )

    def send(self, number):
        request = ForwardedRequest(f"r{number}", "POST", "/p", "h", (), b"")
        deadline = steady_seconds() + 10.0
        return self.forwarder.forward(request, make_route(attempts=1), SERVICE, deadline)

    def test_simultaneous_requests_are_spread(self):
        tasks = [gevent.spawn(self.send, number) for number in range(REQUESTS)]
        gevent.joinall(tasks, raise_error=True)
        self.assertLessEqual(max(pool.requests for pool in self.pools), SLOTS)
        self.assertEqual(sum(pool.requests for pool in self.pools), REQUESTS)

    def test_slots_are_released_afterwards(self):
        gevent.joinall([gevent.spawn(self.send, number) for number in range(REQUESTS)])
        self.assertEqual({one.in_flight for one in self.directory.all()}, {0})

    def test_requests_killed_before_they_start_take_no_slot(self):
        tasks = [gevent.spawn(self.send, number) for number in range(REQUESTS)]
        gevent.sleep(0)
        gevent.killall(tasks)
        gevent.sleep(0.01)
        self.assertEqual({one.in_flight for one in self.directory.all()}, {0})


if __name__ == "__main__":
    unittest.main()
