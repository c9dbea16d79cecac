"""Interfaces between the parts of a node. Implementations are joined in :mod:`runkeel.node`.

A part imports these protocols and the typed messages, never another part's module.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Any, Protocol

from runkeel.api.configuration import (
    EngineRoleSpec,
    MemberLimitSpec,
    ModelSpec,
    ObjectKind,
    PriorityClassSpec,
    ServiceSpec,
    Spec,
)
from runkeel.api.machines import EngineStatus, Machine, MachineKind, Member, PoolSummary
from runkeel.wire.generated.requests.ttypes import (
    ApplicationRequest,
    ApplicationResponse,
    ModelRequest,
    TokenChunk,
)


class PeerStream(Protocol):
    """One end of a two-way stream of thrift messages between two nodes."""

    peer_node_id: str

    def send(self, message_type: int, message: Any) -> None:
        """Send a message; blocks while the receiver grants no credit. Raises RunkeelError."""

    def receive(self, timeout_seconds: float | None = None) -> tuple[int, bytes]:
        """Return the next message's type and compact-protocol body.

        Raises:
            RunkeelError: PEER_LOST, CANCELLED, DEADLINE_EXCEEDED (time-out), or the peer's error.
        """

    def finish(self) -> None:
        """End this side's stream normally; the peer's ``receive`` returns ``(0, b"")``."""

    def cancel(self) -> None:
        """Give up on the stream; the other side's calls raise CANCELLED."""

    @property
    def cancelled(self) -> bool:
        """Whether the peer has cancelled or is gone."""


class PeerClient(Protocol):
    """Calls and streams to other nodes, and to this node itself without a socket."""

    def call(
        self,
        node_id: str,
        message_type: int,
        message: Any,
        reply_class: type,
        timeout_seconds: float,
    ) -> Any:
        """Send one message and return the one reply.

        Raises:
            RunkeelError: PEER_UNREACHABLE (NOT_RUN: no byte was sent), PEER_LOST or
                DEADLINE_EXCEEDED (MAY_HAVE_RUN), or the error that the peer reported.
        """

    def open_stream(self, node_id: str, message_type: int, message: Any) -> PeerStream:
        """Open a stream with its first message. Raises like :meth:`call`."""


class PeerHandlers(Protocol):
    """Registry of what this node serves to its peers."""

    def on_call(
        self, message_type: int, request_class: type, handler: Callable[[str, Any], tuple[int, Any]]
    ) -> None:
        """Register ``handler(peer_node_id, request) -> (reply type, reply)``; a task a call."""

    def on_stream(
        self, message_type: int, request_class: type, handler: Callable[[PeerStream, Any], None]
    ) -> None:
        """Register ``handler(stream, first_message)``, run in its own task."""


class Membership(Protocol):
    """What this node knows of the other nodes."""

    node_id: str
    zone: str

    def local(self) -> Member:
        """Return this node, with its present incarnation."""

    def live_members(self, zone: str | None = None) -> tuple[Member, ...]:
        """Return the nodes believed alive or suspect, this one included, sorted by id."""

    def member(self, node_id: str) -> Member | None:
        """Return what is known of a node, dead or alive."""

    def is_live(self, node_id: str) -> bool:
        """Return whether the node is believed alive or suspect."""

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call back after the set of live nodes has changed."""

    def on_incarnation(self, callback: Callable[[int], None]) -> None:
        """Call back when this node has taken a new incarnation (it was thought dead)."""

    def pool_summaries(self, pool: str) -> tuple[PoolSummary, ...]:
        """Return the latest summaries of the pool's live owners, this node's own included."""

    def publish_summaries(self, summaries: Iterable[PoolSummary]) -> None:
        """Replace this node's own summaries, to be spread with the next heartbeats."""

    def publish_state_digest(self, digest: int) -> None:
        """Set the 64-bit digest of the replicated state, spread with every heartbeat."""

    def on_state_mismatch(self, callback: Callable[[str], None]) -> None:
        """Call back with the id of a node whose digest has differed for some heartbeats."""

    def leave(self) -> None:
        """Tell the others that this node is leaving on purpose."""


class Configuration(Protocol):
    """Typed view of the configuration in force."""

    def service(self, name: str) -> ServiceSpec | None:
        """Return a service's spec, or None."""

    def model(self, name: str) -> ModelSpec | None:
        """Return a model's spec, or None."""

    def priority_class(self, name: str) -> PriorityClassSpec | None:
        """Return a priority class, or None."""

    def member_limit(self, member: str) -> MemberLimitSpec:
        """Return the member's limits, else those named ``default``, else built-in ones."""

    def engine_role(self, backend_id: str) -> EngineRoleSpec:
        """Return the role that the operator gave an engine."""

    def spec(self, kind: ObjectKind, name: str) -> Spec | None:
        """Return the spec of any object, or None when there is none or it was deleted."""

    def is_draining(self, target_id: str) -> bool:
        """Return whether the operator drains this back end or node."""

    def names(self, kind: ObjectKind) -> tuple[str, ...]:
        """Return the names of the objects of a kind, without deleted ones."""

    def generation(self, kind: ObjectKind, name: str) -> int:
        """Return the object's generation, a deleted object's too; 0 for one that never was."""

    def on_change(self, callback: Callable[[ObjectKind, str], None]) -> None:
        """Call back after an object has changed."""


class MachineView(Protocol):
    """The machine list as last heard of."""

    def machine(self, machine_id: str) -> Machine | None:
        """Return one machine, or None."""

    def machines(self, kind: MachineKind, pool: str | None = None) -> tuple[Machine, ...]:
        """Return machines of a kind, sorted by id."""

    def is_leaving(self, machine_id: str) -> bool:
        """Return whether the list shows the machine as leaving, or no longer shows it."""

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call back after the list has changed."""


class Ownership(Protocol):
    """Which node owns which back end."""

    def owner_of(self, backend_id: str) -> str | None:
        """Return the owner's node id, or None when no node can own it."""

    def owned(self) -> tuple[Machine, ...]:
        """Return the back ends that this node owns, leaving ones included."""

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call back after the set of owned back ends has changed."""


class Records(Protocol):
    """Replicated write-once records, decided by majority across zones."""

    def decide(self, key: str, value: bytes, timeout_seconds: float) -> bytes:
        """Propose a value for a key and return the value decided, ours or an earlier one.

        Raises:
            RunkeelError: RECORDS_UNAVAILABLE when no majority answered in time; the value
                may still be decided later.
        """

    def read(self, key: str, timeout_seconds: float) -> bytes | None:
        """Return the decided value, or None when none was decided before the call began."""


class Dispatcher(Protocol):
    """Runs requests on some back end of a pool."""

    def application(self, request: ApplicationRequest) -> ApplicationResponse:
        """Run one application request within its remaining time. Raises RunkeelError."""

    def generate(self, request: ModelRequest) -> Iterator[TokenChunk]:
        """Yield chunks until one carries a finish reason; resumes on another engine if repeatable.

        Closing the iterator cancels the generation. Raises RunkeelError.
        """


class EngineDirectory(Protocol):
    """Latest reports of the engines that this node owns."""

    def status(self, backend_id: str) -> EngineStatus | None:
        """Return the engine's last report, or None."""

    def in_service(self, backend_id: str) -> bool:
        """Return whether new work may go to the engine."""

    def hold(self, backend_id: str, held: bool) -> None:
        """Stop (or allow again) new work for an engine, for example during a weight swap."""
