"""Random sequences of entries, responses and failures of one server, checked against a model."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from runkeel.api.fleet import Backend
from runkeel.api.machines import Address
from runkeel.clock import steady_seconds
from runkeel.gateway.backends import BackendDirectory

NAME = "server"
STARTS = st.sampled_from(["1000", "2000", "3000", "4000", "5000"])


class StartsMachine(RuleBasedStateMachine):
    """Start times come in any order; one that is over is never accepted again."""

    def __init__(self):
        super().__init__()
        self.directory = BackendDirectory()
        self.revision = 0
        self.present = ""
        self.over: set[str] = set()
        self.failures = 0
        self.ended = False

    def _begins(self, start: str) -> None:
        if start != self.present:
            self.over.add(self.present)
            self.present, self.failures, self.ended = start, 0, False

    @rule(start=STARTS, draining=st.booleans())
    def entry(self, start, draining):
        self.revision += 1
        address = Address("127.0.0.1", 1)
        backend = Backend(NAME, "s", address, "z", 8, draining, start=start)
        self.directory.put(backend, self.revision)
        if start not in self.over:
            self._begins(start)

    @rule(start=STARTS)
    def answer(self, start):
        state = self.directory.get(NAME)
        if state is None:
            return
        self.directory.note_reported(state, start)
        if start not in self.over:
            self._begins(start)

    @rule()
    def gone(self):
        self.directory.remove(NAME)
        self.present, self.failures, self.ended = "", 0, False
        self.over.clear()

    @rule()
    def loss(self):
        state = self.directory.get(NAME)
        if state is not None:
            state.failed()
            self.failures += 1

    @rule()
    def refused_connection(self):
        state = self.directory.get(NAME)
        if state is not None:
            state.note_ended()
            self.ended = True

    @rule(reason=st.sampled_from(["Slots: missing"]))
    def unreadable(self, reason):
        self.directory.note_unreadable(NAME, reason)

    @invariant()
    def only_the_present_start_counts(self):
        state = self.directory.get(NAME)
        assert (state is None) == (not self.present)
        if state is None:
            assert not self.directory.of_service("s")
            return
        assert state.backend.start == self.present
        assert state.failures == self.failures
        assert state.avoided(steady_seconds()) == (self.ended or self.failures > 0)
        joined = state in self.directory.of_service("s")
        assert joined == state.backend.takes_work
