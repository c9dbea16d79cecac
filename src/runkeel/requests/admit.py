"""Admission at the entry: limits per member and per pool. Refusals are always ``NOT_RUN``."""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from runkeel.api.configuration import MemberLimitSpec
from runkeel.api.interfaces import Configuration
from runkeel.errors import ErrorCode, not_run

MAXIMUM_MEMBERS = 10_000
DEFAULT_RANK = 500
_BUILT_IN_RANKS = {"standard": DEFAULT_RANK}
BUSY_RETRY_AFTER_SECONDS = 0.5


@dataclass(slots=True)
class _MemberState:
    tokens: float
    updated_at: float
    in_flight: int = 0


class Admission:
    """Token bucket and requests in flight per member; requests in flight per pool."""

    def __init__(
        self, configuration: Configuration, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._configuration = configuration
        self._clock = clock
        self._members: OrderedDict[str, _MemberState] = OrderedDict()
        self._in_flight: dict[str, int] = {}

    def priority_rank(self, name: str) -> int:
        """Return the rank of a priority class.

        Raises:
            RunkeelError: UNKNOWN_PRIORITY_CLASS (NOT_RUN).
        """
        spec = self._configuration.priority_class(name)
        if spec is not None:
            return spec.rank
        if name in _BUILT_IN_RANKS:
            return _BUILT_IN_RANKS[name]
        raise not_run(ErrorCode.UNKNOWN_PRIORITY_CLASS, "no such priority class")

    @contextmanager
    def admit(self, member: str, pool: str, pool_limit: int) -> Iterator[None]:
        """Hold a place for one request.

        Raises:
            RunkeelError: MEMBER_LIMIT or SERVICE_LIMIT (NOT_RUN, with Retry-After).
        """
        self.enter(member, pool, pool_limit)
        try:
            yield
        finally:
            self.leave(member, pool)

    def enter(self, member: str, pool: str, pool_limit: int) -> None:
        """Take a place; give it back with :meth:`leave`. Raises like :meth:`admit`."""
        if self._in_flight.get(pool, 0) >= pool_limit:
            raise not_run(
                ErrorCode.SERVICE_LIMIT, "too many requests in flight", BUSY_RETRY_AFTER_SECONDS
            )
        state = self._take_token(member, self._configuration.member_limit(member))
        state.in_flight += 1
        self._in_flight[pool] = self._in_flight.get(pool, 0) + 1

    def leave(self, member: str, pool: str) -> None:
        """Give a place back."""
        self._members[member].in_flight -= 1
        left = self._in_flight[pool] - 1
        if left:
            self._in_flight[pool] = left
        else:
            del self._in_flight[pool]

    def _take_token(self, member: str, limit: MemberLimitSpec) -> _MemberState:
        now = self._clock()
        state = self._members.get(member)
        if state is None:
            self._make_room()
            state = self._members[member] = _MemberState(limit.burst, now)
        self._members.move_to_end(member)
        refill = (now - state.updated_at) * limit.requests_per_second
        state.tokens = min(limit.burst, state.tokens + refill)
        state.updated_at = now
        if state.in_flight >= limit.max_in_flight:
            raise not_run(
                ErrorCode.MEMBER_LIMIT,
                "the member has too many requests in flight",
                BUSY_RETRY_AFTER_SECONDS,
            )
        if state.tokens < 1.0:
            wait = (1.0 - state.tokens) / limit.requests_per_second
            raise not_run(ErrorCode.MEMBER_LIMIT, "the member's rate is used up", wait)
        state.tokens -= 1.0
        return state

    def _make_room(self) -> None:
        """Forget the member seen least recently that has nothing in flight."""
        if len(self._members) < MAXIMUM_MEMBERS:
            return
        for member, state in self._members.items():
            if not state.in_flight:
                del self._members[member]
                return
        raise not_run(ErrorCode.MEMBER_LIMIT, "too many members at once", BUSY_RETRY_AFTER_SECONDS)
