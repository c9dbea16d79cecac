"""A planned stop cuts off no request, whenever it comes."""

import unittest
from unittest import mock

import gevent
from gevent import socket

from runkeel.clock import steady_seconds
from runkeel_lab.users_platform.deployment import COUNT_PREFIX, HOST, Deployment

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

    def _request(self, sock, request_id):
        head = (
            f"POST {COUNT_PREFIX}x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {request_id}\r\n"
            "Deadline-Ms: 1500\r\nContent-Length: 4\r\n\r\nrice"
        )
        sock.sendall(head.encode())

    def _answer(self, sock):
        data = b""
        while chunk := sock.recv(65536):
            data += chunk
            if b"\r\n\r\n" in data and data.endswith((b"rice", b"}")):
                break
        return data

    def test_request_that_comes_as_the_listener_closes_is_answered(self):
        """agreste trouble-2, snapshot fb6b4c10: LOST, the process ended under a request."""
        stop = self._stop()
        self._sleep_until(ROTATION_SECONDS - 0.05)
        sock = self._connect()
        self._sleep_until(ROTATION_SECONDS + 0.05)
        self._request(sock, "late")
        answer = gevent.spawn(self._answer, sock)
        stop.join()
        # The process ends here, and its connections with it.
        self.assertTrue(answer.ready())
        self.assertIn(b"200 OK", answer.value)

    def test_request_in_flight_is_answered_and_its_connection_closed(self):
        for server in self.deployment.applications:
            server.work_seconds = 0.8
        self._stop()
        sock = self._connect()
        self._request(sock, "slow")
        answer = self._answer(sock)
        self.assertIn(b"200 OK", answer)
        self.assertIn(b"connection: close", answer.lower())

    def test_not_ready_at_once_and_ended_in_time(self):
        task = self._stop()
        gevent.sleep(0.05)
        self.assertEqual(self.process.ready, False)
        task.join(5.0)
        self.assertTrue(task.ready())

    def test_last_requests_are_refused_with_a_time_to_come_back(self):
        sock = self._connect()
        self.process.refuse_clients()
        self._request(sock, "refused")
        answer = self._answer(sock).lower()
        self.assertIn(b"503", answer)
        self.assertIn(b"retry-after", answer)


if __name__ == "__main__":
    unittest.main()
