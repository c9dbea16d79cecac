"""Measures calls and streams between two nodes that share this process and so one core.

Run as ``python -m runkeel_lab.measurements.wire``.
"""

from __future__ import annotations

import time

import gevent
from gevent import monkey

from runkeel.api.machines import Address
from runkeel.wire.codec import decode, encode
from runkeel.wire.generated.common.ttypes import HttpHeader, MessageType
from runkeel.wire.generated.requests.ttypes import (
    ApplicationRequest,
    ApplicationResponse,
    ModelRequest,
    RequestEnvelope,
    TokenChunk,
)
from runkeel.wire.network import PeerNetwork

SEQUENTIAL_CALLS = 5_000
CONCURRENT_CALLS = 24_000
STREAM_FRAMES = 50_000
TIMEOUT_SECONDS = 10.0
BODY = b"x" * 300
REQUEST_ID = "0123456789abcdef"


def start_pair() -> tuple[PeerNetwork, PeerNetwork]:
    """Start two networks that know each other's address and echo requests."""
    book: dict[str, tuple[Address, str]] = {}
    networks = []
    for node_id in ("caller", "server"):
        network = PeerNetwork(
            node_id, "zone", "measure", b"key", 1, Address("127.0.0.1", 0), book.get
        )
        network.start()
        network.on_call(MessageType.APPLICATION_REQUEST, ApplicationRequest, _answer)
        network.on_stream(MessageType.MODEL_REQUEST, ModelRequest, _stream_tokens)
        book[node_id] = (network.address, "zone")
        networks.append(network)
    return networks[0], networks[1]


def _answer(peer: str, request: ApplicationRequest) -> tuple[int, ApplicationResponse]:
    response = ApplicationResponse(request.envelope.request_id, 1, 200, [], request.body, "b")
    return MessageType.APPLICATION_RESPONSE, response


def _stream_tokens(stream, request: ModelRequest) -> None:
    for position in range(request.max_tokens):
        chunk = TokenChunk(REQUEST_ID, 1, position, [position], " t1", 7, "", "backend")
        stream.send(MessageType.TOKEN_CHUNK, chunk)


def request_message() -> ApplicationRequest:
    """Return a request of about 400 encoded bytes."""
    envelope = RequestEnvelope(REQUEST_ID, 1, 500, 0, "top", True, "m", "pool", "n")
    headers = [HttpHeader("content-type", "application/json")]
    return ApplicationRequest(envelope, "GET", "/lookup/x", headers, BODY)


def measure_latency(caller: PeerNetwork, target: str) -> tuple[float, float]:
    """Return p50 and p99 in microseconds of calls made one after another."""
    message = request_message()
    latencies = []
    for _ in range(SEQUENTIAL_CALLS):
        start = time.perf_counter()
        _call(caller, target, message)
        latencies.append((time.perf_counter() - start) * 1e6)
    latencies.sort()
    return latencies[SEQUENTIAL_CALLS // 2], latencies[SEQUENTIAL_CALLS * 99 // 100]


def measure_throughput(caller: PeerNetwork, target: str, tasks: int) -> tuple[float, float]:
    """Return calls a second, and microseconds of processor time a call."""
    message = request_message()
    each = CONCURRENT_CALLS // tasks

    def make_calls() -> None:
        for _ in range(each):
            _call(caller, target, message)

    start, cpu_start = time.perf_counter(), time.process_time()
    gevent.joinall([gevent.spawn(make_calls) for _ in range(tasks)], raise_error=True)
    calls = each * tasks
    cpu = (time.process_time() - cpu_start) / calls * 1e6
    return calls / (time.perf_counter() - start), cpu


def measure_stream(caller: PeerNetwork, target: str) -> float:
    """Return frames a second of one stream of single tokens."""
    request = ModelRequest(prompt="p", max_tokens=STREAM_FRAMES)
    start = time.perf_counter()
    stream = caller.open_stream(target, MessageType.MODEL_REQUEST, request)
    frames = 0
    while True:
        message_type, body = stream.receive(TIMEOUT_SECONDS)
        if not message_type:
            break
        decode(TokenChunk, body)
        frames += 1
    stream.finish()
    return frames / (time.perf_counter() - start)


def _call(caller: PeerNetwork, target: str, message: ApplicationRequest) -> None:
    caller.call(
        target,
        MessageType.APPLICATION_REQUEST,
        message,
        ApplicationResponse,
        TIMEOUT_SECONDS,
    )


def main() -> None:
    """Print all figures."""
    caller, server = start_pair()
    print(f"request of {len(encode(request_message()))} bytes; both ends share one core")
    for target in ("server", "caller"):
        name = "peer" if target == "server" else "own node"
        _call(caller, target, request_message())
        p50, p99 = measure_latency(caller, target)
        print(f"{name}: latency p50 {p50:.0f} us, p99 {p99:.0f} us")
        for tasks in (1, 32, 256):
            rate, cpu = measure_throughput(caller, target, tasks)
            print(f"{name}: {tasks} callers {rate:.0f} calls/s, {cpu:.0f} us of cpu a call")
        print(f"{name}: stream {measure_stream(caller, target):.0f} frames/s")
    caller.stop()
    server.stop()


if __name__ == "__main__":
    monkey.patch_all()
    main()
