"""A graceful shutdown drops no request."""

import unittest
from unittest import mock

import gevent
from gevent import socket

from runkeel.clock import steady_seconds
from runkeel_lab.users_platform.deployment import (
    CHAT_PREFIX,
    COUNT_PREFIX,
    HOST,
    RESERVE_PREFIX,
    Deployment,
)

ROTATION_SECONDS = 0.5


class PlannedStopTest(unittest.TestCase):
    def setUp(self):
        import runkeel_platform.process as process

        patch = mock.patch.object(process, "_OUT_OF_ROTATION_SECONDS", ROTATION_SECONDS)
        patch.start()
        self.addCleanup(patch.stop)
        self.deployment = Deployment()
        self.addCleanup(self.deployment.stop)
        self.deployment.start()
        self.deployment.wait_ready()
        self.process = self.deployment.node("edge-0")

    def _stop(self):
        self.started = steady_seconds()
        task = gevent.spawn(self.process.drain_and_stop)
        self.addCleanup(task.kill)
        return task

    def _sleep_until(self, seconds):
        gevent.sleep(max(0.0, self.started + seconds - steady_seconds()))

    def _connect(self):
        address = self.process.frontend_address
        sock = socket.create_connection((address.host, address.port))
        sock.settimeout(5.0)
        self.addCleanup(sock.close)
        return sock

    def _request(self, sock, request_id, prefix=COUNT_PREFIX, milliseconds=1_500):
        head = (
            f"POST {prefix}x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {request_id}\r\n"
            f"Deadline-Ms: {milliseconds}\r\nContent-Length: 4\r\n\r\nrice"
        )
        sock.sendall(head.encode())

    def _read_response(self, sock):
        data = b""
        while chunk := sock.recv(65536):
            data += chunk
            if b"\r\n\r\n" in data and data.endswith((b"rice", b"}")):
                break
        return data

    def test_request_sent_while_the_listener_closes_completes(self):
        """Guards against an exit of the process while a late request is still running."""
        stop = self._stop()
        self._sleep_until(ROTATION_SECONDS - 0.05)
        sock = self._connect()
        self._sleep_until(ROTATION_SECONDS + 0.05)
        self._request(sock, "late")
        response = gevent.spawn(self._read_response, sock)
        stop.join()
        # A real process would exit here and close its connections.
        self.assertTrue(response.ready())
        self.assertIn(b"200 OK", response.value)

    def test_request_in_flight_completes_and_its_connection_closes(self):
        for server in self.deployment.applications:
            server.work_seconds = 0.8
        self._stop()
        sock = self._connect()
        self._request(sock, "slow")
        response = self._read_response(sock)
        self.assertIn(b"200 OK", response)
        self.assertIn(b"connection: close", response.lower())

    def test_request_that_may_outlast_the_grace_period_is_not_passed_on(self):
        """Guards against requests that are taken and then cut off with no answer."""
        for engine in self.deployment.engines:
            engine.event_seconds = 1.0
        long_stream = self._connect()
        self._request(long_stream, "long", CHAT_PREFIX, milliseconds=60_000)
        late, in_time = self._connect(), self._connect()
        stop = self._stop()
        self._sleep_until(ROTATION_SECONDS + 0.2)
        self._request(late, "late", CHAT_PREFIX, milliseconds=60_000)
        self._request(in_time, "in-time", RESERVE_PREFIX, milliseconds=1_000)
        response = self._read_response(late)
        self.assertIn(b"503", response)
        self.assertIn(b"node_leaving", response)
        self.assertIn(b"retry-after", response.lower())
        self.assertIn(b"200 OK", self._read_response(in_time))
        servers = [*self.deployment.applications, *self.deployment.engines]
        ran = {run.request_id for server in servers for run in server.runs}
        self.assertEqual(ran, {"long", "in-time"})
        stop.kill()

    def test_node_is_unready_at_once_and_stops_in_time(self):
        task = self._stop()
        gevent.sleep(0.05)
        self.assertEqual(self.process.ready, False)
        task.join(5.0)
        self.assertTrue(task.ready())

    def test_last_requests_get_503_with_retry_after(self):
        sock = self._connect()
        self.process.refuse_clients()
        self._request(sock, "refused")
        response = self._read_response(sock).lower()
        self.assertIn(b"503", response)
        self.assertIn(b"retry-after", response)


if __name__ == "__main__":
    unittest.main()
