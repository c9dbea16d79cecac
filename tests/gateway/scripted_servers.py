"""Connection pools with scripted responses, and a protocol that classifies by status alone."""

from __future__ import annotations

import gevent

from runkeel.api.backend_protocol import GenerationEvent, ResponseClass
from runkeel.api.fleet import Backend
from runkeel.api.machines import Address
from runkeel.backends.http_connection import HttpResponse, OutgoingRequest, Reachability
from runkeel.clock import steady_seconds
from runkeel.errors import ErrorCode, may_have_run, not_run
from runkeel.gateway.backends import BackendDirectory

SERVICE = "ledger"
_CLASSES = {
    200: ResponseClass.SUCCESS,
    299: ResponseClass.FOREIGN,
    421: ResponseClass.MISDIRECTED,
    503: ResponseClass.REFUSED,
}


class StatusProtocol:
    """Classifies by status alone; the text of an event is its id."""

    def __init__(self):
        self.resumed_after = []

    def encode_forwarded_request(self, request, backend, remaining_seconds):
        self.resumed_after.append(request.resume_after)
        return OutgoingRequest(request.method, request.target, [], request.body)

    def classify(self, request_id, status, headers):
        return _CLASSES.get(status, ResponseClass.FAILURE)

    def parse_event(self, block):
        return GenerationEvent(block.decode(), "", 0, True)


class CloseDelimited(list):
    """Chunks of a body without an explicit length, which ends with its connection."""


class ScriptedPool:
    """Responds as scripted: a status, an error, or a function of the deadline."""

    idle_connections = 0
    reachability = Reachability.OPEN

    def __init__(self, *script):
        self.script = list(script)
        self.requests = 0

    def request(self, outgoing, deadline, accept=None):
        status = self._next(deadline)
        response = HttpResponse(status, [], b"body")
        accept(response.status, response.headers)
        return response

    def open_stream(self, outgoing, deadline):
        self.stream = ScriptedStream(self._next(deadline), self._next_chunks())
        return self.stream

    def probe(self, seconds):
        return self.reachability

    def close(self):
        pass

    def _next(self, deadline):
        self.requests += 1
        step = self.script.pop(0)
        if callable(step):
            step = step(deadline)
        if isinstance(step, Exception):
            raise step
        return step

    def _next_chunks(self):
        return self.script.pop(0) if self.script and isinstance(self.script[0], list) else []


class ScriptedStream:
    """Returns the chunks in order; raises those that are errors."""

    headers = ()

    def __init__(self, status, remaining_chunks):
        self.status = status
        self.remaining_chunks = list(remaining_chunks)
        self.delimited_by_close = isinstance(remaining_chunks, CloseDelimited)
        self.closed = False
        self.aborted = False

    def read_chunk(self, deadline):
        if not self.remaining_chunks:
            return None
        chunk = self.remaining_chunks.pop(0)
        if isinstance(chunk, Exception):
            raise chunk
        return chunk

    def chunks(self, deadline):
        while (chunk := self.read_chunk(deadline)) is not None:
            yield chunk

    def read_body(self, deadline, max_bytes=0):
        return b"".join(self.chunks(deadline))

    def close(self):
        self.closed = True

    def abort(self):
        self.closed = self.aborted = True


def directory_of(**pools) -> BackendDirectory:
    """Return a directory of servers with the given pools, by server id; all in one zone."""
    directory = BackendDirectory()
    for name, pool in pools.items():
        directory.put(Backend(name, SERVICE, Address("127.0.0.1", 1), "here", 8))
        directory.get(name).pool = pool
    return directory


def unresponsive(deadline: float):
    """Don't respond until the deadline."""
    gevent.sleep(max(0.0, deadline - steady_seconds()))
    raise may_have_run(ErrorCode.DEADLINE_EXCEEDED, "silent")


def after(seconds: float, status: int):
    """Respond with a status after a delay in seconds."""

    def step(deadline):
        gevent.sleep(seconds)
        return status

    return step


def lost() -> Exception:
    """Return the error of a connection lost after the request was sent."""
    return may_have_run(ErrorCode.BACKEND_LOST, "reset")


def unreachable() -> Exception:
    """Return the error of a connection that was refused."""
    return not_run(ErrorCode.BACKEND_UNREACHABLE, "refused")
