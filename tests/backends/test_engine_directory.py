import unittest

import gevent

from runkeel.api.machines import Address, Machine, MachineKind, MachineState
from runkeel.backends.engine_directory import EngineMonitor


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
