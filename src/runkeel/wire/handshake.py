"""Mutual challenge-response authentication of peers with the shared cluster key.

The dialing side proves first, so that the accepting side never computes a proof for an
unauthenticated peer. A proof is an HMAC over the prover's role, the cluster name, both challenges
and both node ids, so it cannot be reflected or replayed on another connection. Traffic after the
handshake is neither encrypted nor signed.
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
MAX_HANDSHAKE_BODY_BYTES = 4_096
_DIALER_ROLE = b"dialer"
_ACCEPTOR_ROLE = b"acceptor"


@dataclass(frozen=True, slots=True)
class LocalIdentity:
    """What this node reports to its peers in the handshake, and the cluster key."""

    cluster_name: str
    cluster_key: bytes
    node_id: str
    zone: str
    incarnation: int

    def hello(self) -> Hello:
        """Return a Hello with a new random challenge."""
        return Hello(
            PROTOCOL_VERSION,
            self.cluster_name,
            self.node_id,
            self.zone,
            self.incarnation,
            os.urandom(CHALLENGE_BYTES),
        )


class HandshakeSocket:
    """Sends and receives the handshake's frames, with the emulated delay of the link."""

    def __init__(self, connection: socket.socket) -> None:
        self._socket = connection
        self._decoder = FrameDecoder(MAX_HANDSHAKE_BODY_BYTES)
        self._frames: list = []

    def send(self, message_type: int, message: object, delay_seconds: float = 0.0) -> None:
        """Send one message after a delay."""
        if delay_seconds:
            gevent.sleep(delay_seconds)
        self._socket.sendall(encode_frame(CONNECTION_STREAM, message_type, encode(message)))

    def receive(self, message_type: int, message_class: type) -> object:
        """Return the next message, which must be of the given type."""
        while not self._frames:
            # Never reads past the handshake: each side sends nothing else before it has verified
            # the other's proof, and the accepting side opens no streams.
            chunk = self._socket.recv(MAX_HANDSHAKE_BODY_BYTES)
            if not chunk:
                raise RunkeelError(
                    ErrorCode.PROTOCOL_ERROR, "connection closed during the handshake"
                )
            self._frames.extend(self._decoder.feed(chunk))
        frame = self._frames.pop(0)
        if frame.stream_id != CONNECTION_STREAM or frame.message_type != message_type:
            raise RunkeelError(ErrorCode.PROTOCOL_ERROR, "unexpected frame during the handshake")
        return decode(message_class, frame.body)


def dial_handshake(
    link: HandshakeSocket, identity: LocalIdentity, expected_node_id: str, delay_seconds: float
) -> Hello:
    """Run the dialing side; return the peer's Hello.

    Raises:
        RunkeelError: PROTOCOL_ERROR when the peer is another node or fails authentication.
    """
    own_hello = identity.hello()
    link.send(MessageType.HELLO, own_hello, delay_seconds)
    peer_hello = link.receive(MessageType.HELLO, Hello)
    check_hello(peer_hello, identity)
    if peer_hello.node_id != expected_node_id:
        raise RunkeelError(ErrorCode.PROTOCOL_ERROR, f"unexpected peer {peer_hello.node_id!r}")
    proof = make_proof(identity.cluster_key, _DIALER_ROLE, own_hello, peer_hello)
    link.send(MessageType.HELLO_PROOF, HelloProof(proof), delay_seconds)
    _check_proof(link, identity, _ACCEPTOR_ROLE, peer_hello, own_hello)
    return peer_hello


def receive_hello(link: HandshakeSocket, identity: LocalIdentity) -> Hello:
    """Receive and check the Hello of a dialing peer."""
    peer_hello = link.receive(MessageType.HELLO, Hello)
    check_hello(peer_hello, identity)
    return peer_hello


def accept_handshake(
    link: HandshakeSocket, identity: LocalIdentity, peer_hello: Hello, delay_seconds: float
) -> None:
    """Run the accepting side after the peer's Hello.

    Raises:
        RunkeelError: PROTOCOL_ERROR when the peer fails authentication.
    """
    own_hello = identity.hello()
    link.send(MessageType.HELLO, own_hello, delay_seconds)
    _check_proof(link, identity, _DIALER_ROLE, peer_hello, own_hello)
    proof = make_proof(identity.cluster_key, _ACCEPTOR_ROLE, own_hello, peer_hello)
    link.send(MessageType.HELLO_PROOF, HelloProof(proof), delay_seconds)


def make_proof(cluster_key: bytes, role: bytes, prover: Hello, verifier: Hello) -> bytes:
    """Return the HMAC with which ``prover`` answers the challenge of ``verifier``."""
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


def check_hello(peer_hello: Hello, identity: LocalIdentity) -> None:
    """Raise PROTOCOL_ERROR unless the Hello is valid and from another node of this cluster."""
    well_formed = (
        isinstance(peer_hello.node_id, str)
        and isinstance(peer_hello.zone, str)
        and isinstance(peer_hello.incarnation, int)
        and isinstance(peer_hello.challenge, bytes)
        and len(peer_hello.challenge) == CHALLENGE_BYTES
    )
    if not well_formed or peer_hello.protocol_version != PROTOCOL_VERSION:
        raise RunkeelError(
            ErrorCode.PROTOCOL_ERROR, "malformed hello or unsupported protocol version"
        )
    if peer_hello.cluster != identity.cluster_name or peer_hello.node_id == identity.node_id:
        raise RunkeelError(ErrorCode.PROTOCOL_ERROR, "hello from another cluster or from this node")


def _check_proof(
    link: HandshakeSocket, identity: LocalIdentity, role: bytes, prover: Hello, verifier: Hello
) -> None:
    received = link.receive(MessageType.HELLO_PROOF, HelloProof)
    expected = make_proof(identity.cluster_key, role, prover, verifier)
    if not isinstance(received.proof, bytes) or not hmac.compare_digest(received.proof, expected):
        raise RunkeelError(
            ErrorCode.PROTOCOL_ERROR, "the peer failed authentication with the cluster key"
        )
