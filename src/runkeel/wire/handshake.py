"""Mutual authentication of peers by a challenge and the cluster key.

The dialling side sends its Hello first and its proof before the accepting side's proof, so
that the accepting side never computes a proof for a stranger. A proof covers the prover's role,
both challenges and both node ids, so none can be reflected or moved to another connection.
What follows the handshake is neither encrypted nor signed.
"""

from __future__ import annotations

import hmac
import os
from dataclasses import dataclass

import gevent
from gevent import socket

from runkeel.errors import ErrorCode, RunkeelError
from runkeel.wire.codec import decode, encode
from runkeel.wire.frames import CONNECTION_STREAM, FrameDecoder, encode_frame
from runkeel.wire.generated.common.ttypes import Hello, HelloProof, MessageType

PROTOCOL_VERSION = 2
CHALLENGE_BYTES = 16
MAXIMUM_HANDSHAKE_BODY_BYTES = 4_096
_DIALER_ROLE = b"dialer"
_ACCEPTOR_ROLE = b"acceptor"


@dataclass(frozen=True, slots=True)
class LocalIdentity:
    """What this node tells its peers, and the key that it proves to hold."""

    cluster_name: str
    cluster_key: bytes
    node_id: str
    zone: str
    incarnation: int

    def hello(self) -> Hello:
        """Return a Hello with a fresh challenge."""
        return Hello(
            PROTOCOL_VERSION,
            self.cluster_name,
            self.node_id,
            self.zone,
            self.incarnation,
            os.urandom(CHALLENGE_BYTES),
        )


class HandshakeSocket:
    """Reads and writes single small frames, with the emulated delay of the link."""

    def __init__(self, connection: socket.socket) -> None:
        self._socket = connection
        self._decoder = FrameDecoder(MAXIMUM_HANDSHAKE_BODY_BYTES)
        self._frames: list = []

    def send(self, message_type: int, message: object, delay_seconds: float = 0.0) -> None:
        """Send one message after the link's delay."""
        if delay_seconds:
            gevent.sleep(delay_seconds)
        self._socket.sendall(encode_frame(CONNECTION_STREAM, message_type, encode(message)))

    def receive(self, message_type: int, message_class: type) -> object:
        """Return the next message, which must be of the given type."""
        while not self._frames:
            # Reads nothing past the handshake: neither side sends more until it has verified
            # the other's proof, and the accepting side opens no streams.
            chunk = self._socket.recv(MAXIMUM_HANDSHAKE_BODY_BYTES)
            if not chunk:
                raise RunkeelError(ErrorCode.PROTOCOL_ERROR, "closed during the handshake")
            self._frames.extend(self._decoder.feed(chunk))
        frame = self._frames.pop(0)
        if frame.stream_id != CONNECTION_STREAM or frame.message_type != message_type:
            raise RunkeelError(ErrorCode.PROTOCOL_ERROR, "unexpected frame in the handshake")
        return decode(message_class, frame.body)


def dial_handshake(
    link: HandshakeSocket, identity: LocalIdentity, expected_node_id: str, delay_seconds: float
) -> Hello:
    """Run the dialling side; return the peer's Hello.

    Raises:
        RunkeelError: PROTOCOL_ERROR when the peer is another node or can't prove the key.
    """
    mine = identity.hello()
    link.send(MessageType.HELLO, mine, delay_seconds)
    theirs = link.receive(MessageType.HELLO, Hello)
    check_hello(theirs, identity)
    if theirs.node_id != expected_node_id:
        raise RunkeelError(ErrorCode.PROTOCOL_ERROR, f"the peer is {theirs.node_id!r}")
    proof = make_proof(identity.cluster_key, _DIALER_ROLE, mine, theirs)
    link.send(MessageType.HELLO_PROOF, HelloProof(proof), delay_seconds)
    _check_proof(link, identity, _ACCEPTOR_ROLE, theirs, mine)
    return theirs


def receive_hello(link: HandshakeSocket, identity: LocalIdentity) -> Hello:
    """Receive and check the Hello of a dialling peer."""
    theirs = link.receive(MessageType.HELLO, Hello)
    check_hello(theirs, identity)
    return theirs


def accept_handshake(
    link: HandshakeSocket, identity: LocalIdentity, theirs: Hello, delay_seconds: float
) -> None:
    """Run the accepting side after the peer's Hello.

    Raises:
        RunkeelError: PROTOCOL_ERROR when the peer can't prove the key.
    """
    mine = identity.hello()
    link.send(MessageType.HELLO, mine, delay_seconds)
    _check_proof(link, identity, _DIALER_ROLE, theirs, mine)
    proof = make_proof(identity.cluster_key, _ACCEPTOR_ROLE, mine, theirs)
    link.send(MessageType.HELLO_PROOF, HelloProof(proof), delay_seconds)


def make_proof(cluster_key: bytes, role: bytes, prover: Hello, verifier: Hello) -> bytes:
    """Return the prover's proof for the verifier's challenge."""
    parts = (
        role,
        prover.cluster.encode(),
        verifier.challenge,
        prover.challenge,
        prover.node_id.encode(),
        verifier.node_id.encode(),
    )
    message = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
    return hmac.digest(cluster_key, message, "sha256")


def check_hello(theirs: Hello, identity: LocalIdentity) -> None:
    """Raise PROTOCOL_ERROR unless the Hello is whole and of another node of this cluster."""
    whole = (
        isinstance(theirs.node_id, str)
        and isinstance(theirs.zone, str)
        and isinstance(theirs.incarnation, int)
        and isinstance(theirs.challenge, bytes)
        and len(theirs.challenge) == CHALLENGE_BYTES
    )
    if not whole or theirs.protocol_version != PROTOCOL_VERSION:
        raise RunkeelError(ErrorCode.PROTOCOL_ERROR, "malformed hello or unknown version")
    if theirs.cluster != identity.cluster_name or theirs.node_id == identity.node_id:
        raise RunkeelError(ErrorCode.PROTOCOL_ERROR, "hello of another cluster or of this node")


def _check_proof(
    link: HandshakeSocket, identity: LocalIdentity, role: bytes, prover: Hello, verifier: Hello
) -> None:
    received = link.receive(MessageType.HELLO_PROOF, HelloProof)
    expected = make_proof(identity.cluster_key, role, prover, verifier)
    if not isinstance(received.proof, bytes) or not hmac.compare_digest(received.proof, expected):
        raise RunkeelError(ErrorCode.PROTOCOL_ERROR, "the peer does not hold the cluster key")
