"""Fixtures for tests of connections between nodes."""

import unittest

import gevent

from runkeel.api.machines import Address
from runkeel.wire.generated.common.ttypes import HttpHeader
from runkeel.wire.links import LinkPolicy
from runkeel.wire.network import PeerNetwork

CALL = 100
REPLY = 101
STREAM = 102
CHUNK = 103


class ScriptedLinkPolicy(LinkPolicy):
    """A link policy whose delay and partition the test sets."""

    def __init__(self):
        self.partitioned = False
        self.delay = 0.0

    def delay_seconds(self, zone):
        return self.delay

    def is_partitioned(self, zone):
        return self.partitioned


class NetworkTestCase(unittest.TestCase):
    def setUp(self):
        self.addresses = {}
        self.networks = []

    def tearDown(self):
        for network in self.networks:
            network.stop()

    def network(self, node_id, zone="zone-1", key=b"key", policy=None, address=None):
        listen = address or Address("127.0.0.1", 0)
        network = PeerNetwork(node_id, zone, "test", key, 1, listen, self.addresses.get, policy)
        network.start()
        self.networks.append(network)
        self.addresses[node_id] = (network.address, zone)
        return network

    def wait_until(self, condition, seconds=5.0):
        with gevent.Timeout(seconds):
            while not condition():
                gevent.sleep(0.005)


def echo(peer, request):
    return REPLY, HttpHeader(peer, request.value)
