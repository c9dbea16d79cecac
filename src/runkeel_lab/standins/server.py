"""Base of all stand-ins: listener, health, faults and journal."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, ClassVar

import gevent
from gevent import socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer
from pydantic import BaseModel, ConfigDict, ValidationError

from runkeel.api.machines import Address
from runkeel_lab.standins.faults import Fault, FaultBoard, FaultKind
from runkeel_lab.standins.http import (
    BadRequestError,
    Connection,
    Handler,
    Request,
    Response,
    error_response,
    json_response,
)
from runkeel_lab.standins.journal import Journal

MAX_CONNECTIONS = 20_000
LISTEN_BACKLOG = 1024
_CRASH_ANSWER_SECONDS = 0.02


class StandInOptions(BaseModel):
    """Options common to all kinds.

    Attributes:
        journal: path of the journal; none is kept without it.
        seed: seed of the stand-in's random choices.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    journal: str | None = None
    seed: int = 0


@dataclass(frozen=True, slots=True)
class StandInSettings:
    """Identity and options of a stand-in.

    Attributes:
        listen: address to listen on; port 0 lets the kernel choose.
        options: options of the kind, checked by its own model.
    """

    standin_id: str
    zone: str = ""
    pool: str = ""
    listen: Address = Address("127.0.0.1", 0)
    options: dict[str, Any] = field(default_factory=dict)


class _Server(WSGIServer):
    """WSGI server that can drop its connections as a killed process does."""

    def __init__(self, listener: Any, application: Any) -> None:
        self.sockets: set[Any] = set()
        super().__init__(
            listener,
            application,
            spawn=Pool(MAX_CONNECTIONS),
            log=None,
            handler_class=Handler,
            environ={"SERVER_NAME": "standin"},
        )

    def handle(self, sock: Any, address: Any) -> None:
        """Serve one connection, known in ``sockets`` while it lasts."""
        self.sockets.add(sock)
        try:
            super().handle(sock, address)
        finally:
            self.sockets.discard(sock)


class StandIn:
    """A stand-in for one outside system, served over HTTP.

    Subclasses implement :meth:`handle` and, where they hold state, :meth:`reset` and
    :meth:`apply_fault`. Several may run in one process.
    """

    kind: ClassVar[str]
    options_class: ClassVar[type[StandInOptions]] = StandInOptions
    supported_faults: ClassVar[frozenset[FaultKind]] = frozenset()

    def __init__(self, settings: StandInSettings) -> None:
        """Check the options and open the journal.

        Raises:
            pydantic.ValidationError: an option is unknown or wrong.
            OSError: the journal can't be opened.
        """
        self.settings = settings
        self.options: Any = self.options_class.model_validate(settings.options)
        self.journal = Journal(self.options.journal, settings.standin_id)
        self.faults = FaultBoard()
        self.random = random.Random(self.options.seed)
        self._reservation: Any = None
        self._server: _Server | None = None
        self._restart: gevent.Greenlet | None = None
        self._tasks: set[gevent.Greenlet] = set()

    # Life cycle

    @property
    def address(self) -> Address:
        """Where the stand-in listens, or listened before a fault closed the listener."""
        if self._reservation is None:
            return self.settings.listen
        host, port = self._reservation.getsockname()[:2]
        return Address(host, port)

    def start(self) -> None:
        """Reserve the port and begin to serve.

        Raises:
            OSError: the address can't be bound.
        """
        self._reservation = _reserve(self.settings.listen)
        self.reset()
        self._listen()
        self.journal.write("up", address=str(self.address), kind=self.kind)

    def stop(self) -> None:
        """Drop all connections, end all tasks and release the port."""
        self._cancel_restart()
        self._close_listener()
        self._kill_tasks()
        if self._reservation is not None:
            self._reservation.close()
            self._reservation = None
        self.journal.close()

    def spawn(self, function: Any, *arguments: Any) -> gevent.Greenlet:
        """Run a task that a crash or a stop ends."""
        task = gevent.spawn(function, *arguments)
        self._tasks.add(task)
        task.rawlink(self._tasks.discard)
        return task

    def _listen(self) -> None:
        if self._server is not None:
            return
        address = self.address
        listener = _listener(address)
        self._server = _Server(listener, self._application)
        self._server.start()
        self.on_up()

    def _close_listener(self) -> None:
        server, self._server = self._server, None
        if server is None:
            return
        server.close()
        for connection in list(server.sockets):
            Connection(connection).abort()
        own = gevent.getcurrent()
        others = [task for task in server.pool if task is not own]
        gevent.killall(others, block=False)

    def _kill_tasks(self) -> None:
        own = gevent.getcurrent()
        gevent.killall([task for task in self._tasks if task is not own], block=False)

    # Requests

    def handle(self, request: Request) -> Response:
        """Answer a request of the stand-in's own protocol."""
        raise NotImplementedError

    def reset(self) -> None:
        """Return to the state of a process just started."""

    def on_up(self) -> None:
        """Act on the listener having opened, at the start and after a fault."""

    def fault_state(self) -> dict[str, Any]:
        """Return counters for the lab, shown at ``GET /fault/state``."""
        return {}

    def control(self, request: Request) -> Response:
        """Answer ``/fault/...`` requests of the lab."""
        return error_response(404, "no such control")

    def _application(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        response = self._respond(environ)
        start_response(response.status_line(), response.all_headers())
        return [response.body] if isinstance(response.body, bytes) else response.body

    def _respond(self, environ: dict[str, Any]) -> Response:
        try:
            request = Request.from_environ(environ)
            if request.path == "/health":
                return json_response(200, {"kind": self.kind, "id": self.settings.standin_id})
            if request.segments[0] == "fault":
                return self.handle_control(request, defer_crash=True)
            return self._pass_faults(request) or self.handle(request)
        except (BadRequestError, ValidationError) as error:
            return error_response(400, str(error))

    def _pass_faults(self, request: Request) -> Response | None:
        down = self.faults.active(FaultKind.DOWN)
        if down is not None:
            return error_response(503, "down")
        error = self.faults.active(FaultKind.ERROR)
        if error is not None and self.random.random() < error.fraction:
            self.journal.write("refused", **request.identity(), status=error.status)
            return error_response(error.status, "fault", retry_after_seconds=1)
        slow = self.faults.active(FaultKind.SLOW)
        if slow is not None:
            gevent.sleep(slow.delay_ms / 1000)
        return None

    # Faults

    def handle_control(self, request: Request, defer_crash: bool = False) -> Response:
        """Answer ``/fault`` and ``/fault/...``; also called by the process's control face."""
        if request.path == "/fault" and request.method == "POST":
            self.set_fault(Fault.model_validate(request.json_object()), defer_crash)
            return json_response(200, {"active": self.faults.kinds()})
        if request.path == "/fault/state":
            state = {"active": self.faults.kinds(), "up": self._server is not None}
            return json_response(200, {**state, **self.fault_state()})
        return self.control(request)

    def set_fault(self, fault: Fault, defer_crash: bool = False) -> None:
        """Activate a fault.

        Args:
            fault: what to do.
            defer_crash: close the listener a little later, so that an answer can go out.

        Raises:
            BadRequestError: this kind of stand-in does not support the fault.
        """
        if fault.kind is not FaultKind.CLEAR and fault.kind not in self.supported_faults:
            raise BadRequestError(f"{self.kind} does not support {fault.kind}")
        self.journal.write("fault", fault=fault.model_dump(mode="json", exclude_unset=True))
        closes = fault.kind is FaultKind.CRASH or (
            fault.kind is FaultKind.DOWN and fault.mode == "refuse"
        )
        if fault.kind is FaultKind.CLEAR:
            self._clear(fault.only)
        elif closes and defer_crash:
            gevent.spawn_later(_CRASH_ANSWER_SECONDS, self._go_down, fault)
        elif closes:
            self._go_down(fault)
        else:
            self.apply_fault(fault)

    def apply_fault(self, fault: Fault) -> None:
        """Act on a fault other than ``clear``, ``crash`` and a refusing ``down``."""
        self.faults.set(fault)

    def _clear(self, only: FaultKind | None) -> None:
        if only in (None, FaultKind.DOWN, FaultKind.CRASH):
            self._bring_back()
        self.faults.clear(only)

    def _go_down(self, fault: Fault) -> None:
        self._cancel_restart()
        self._close_listener()
        if fault.kind is FaultKind.CRASH:
            self._kill_tasks()
            self.reset()
            self.journal.write("crashed")
        if fault.for_ms is not None:
            self._restart = gevent.spawn_later(fault.for_ms / 1000, self._bring_back)

    def _bring_back(self) -> None:
        if self._restart is not gevent.getcurrent():
            self._cancel_restart()
        self._restart = None
        if self._reservation is not None and self._server is None:
            self._listen()
            self.journal.write("up", address=str(self.address), kind=self.kind)

    def _cancel_restart(self) -> None:
        if self._restart is not None:
            self._restart.kill(block=False)
            self._restart = None


def _reserve(address: Address) -> Any:
    """Bind the port without listening.

    The reservation outlives the listener, so that nobody takes the port while a
    fault has closed it; a connection attempt is then refused.
    """
    reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((address.host, address.port))
    return reservation


def _listener(address: Address) -> Any:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((address.host, address.port))
    listener.listen(LISTEN_BACKLOG)
    return listener
