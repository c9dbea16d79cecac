import unittest
from unittest import mock

import gevent

from runkeel.api.machines import Address, Machine, MachineKind, MachineState
from runkeel.backends import engine_directory
from runkeel.backends.engine_directory import FAILED_POLLS, EngineMonitor
from runkeel.errors import ErrorCode, may_have_run


class ShrinkingOwnership:
    def __init__(self, machines):
        self.machines = machines

    def owned(self):
        return tuple(self.machines)

    def owner_of(self, backend_id):
        return None

    def on_change(self, callback):
        pass


class SilentEngine:
    """An engine that never answers."""

    exchanged_bytes = 0

    def __init__(self, address):
        pass

    def load(self):
        gevent.sleep(60)

    def close(self):
        pass


class FailingEngine(SilentEngine):
    """An engine whose reports fail, as a slow one's do by time-out."""

    polls = 0

    def load(self):
        FailingEngine.polls += 1
        raise may_have_run(ErrorCode.DEADLINE_EXCEEDED, "no answer in time")


def engine(number: int) -> Machine:
    address = Address("127.0.0.1", number)
    return Machine(f"e{number}", MachineKind.ENGINE, "z", "m", address, MachineState.LIVE, 1)


class EngineMonitorTest(unittest.TestCase):
    def test_two_refreshes_at_once_forget_each_engine_once(self):
        ownership = ShrinkingOwnership([engine(1), engine(2), engine(3)])
        monitor = EngineMonitor(ownership, client_factory=SilentEngine)
        monitor.start()
        self.addCleanup(monitor.stop)
        gevent.sleep(0)
        ownership.machines = []
        refreshes = [gevent.spawn(monitor.refresh) for _ in range(3)]
        gevent.joinall(refreshes, timeout=5, raise_error=True)
        self.assertIsNone(monitor.status("e1"))

    def test_failing_engine_is_not_polled_faster_once_it_is_out_of_service(self):
        monitor = EngineMonitor(
            ShrinkingOwnership([engine(1)]), client_factory=FailingEngine, poll_seconds=60.0
        )
        self.addCleanup(monitor.stop)
        with mock.patch.object(engine_directory, "RETRY_SECONDS", 0.001):
            monitor.start()
            with gevent.Timeout(10.0):
                while FailingEngine.polls < FAILED_POLLS:
                    gevent.sleep(0.001)
            gevent.sleep(0.1)
        self.assertEqual(FailingEngine.polls, FAILED_POLLS)
