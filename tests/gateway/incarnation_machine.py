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


class IncarnationMachine(RuleBasedStateMachine):
    """Start times come in any order; one that is over is never accepted again."""

    def __init__(self):
        super().__init__()
        self.directory = BackendDirectory()
        self.revision = 0
        self.current = ""
        self.over: set[str] = set()
        self.failures = 0
        self.ended = False

    def _expect_start(self, start: str) -> None:
        if start != self.current:
            self.over.add(self.current)
            self.current, self.failures, self.ended = start, 0, False

    @rule(start=STARTS, draining=st.booleans())
    def entry(self, start, draining):
        self.revision += 1
        address = Address("127.0.0.1", 1)
        backend = Backend(NAME, "s", address, "z", 8, draining, start=start)
        self.directory.put(backend, self.revision)
        if start not in self.over:
            self._expect_start(start)

    @rule(start=STARTS)
    def response(self, start):
        state = self.directory.get(NAME)
        if state is None:
            return
        self.directory.record_reported_start(state, start)
        if start not in self.over:
            self._expect_start(start)

    @rule()
    def removal(self):
        self.directory.remove(NAME)
        self.current, self.failures, self.ended = "", 0, False
        self.over.clear()

    @rule()
    def failure(self):
        state = self.directory.get(NAME)
        if state is not None:
            state.record_call_failure()
            self.failures += 1

    @rule()
    def refused_connection(self):
        state = self.directory.get(NAME)
        if state is not None:
            state.mark_ended()
            self.ended = True

    @rule(reason=st.sampled_from(["Slots: missing"]))
    def unreadable(self, reason):
        self.directory.mark_unreadable(NAME, reason)

    @invariant()
    def only_the_current_start_counts(self):
        state = self.directory.get(NAME)
        assert (state is None) == (not self.current)
        if state is None:
            assert not self.directory.of_service("s")
            return
        assert state.backend.start == self.current
        assert state.failures == self.failures
        assert state.avoided(steady_seconds()) == (self.ended or self.failures > 0)
        joined = state in self.directory.of_service("s")
        assert joined == state.backend.accepts_work
