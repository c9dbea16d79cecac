"""Authenticated datagrams and the conversion of their records.

A datagram is a version byte, a truncated HMAC-SHA256 (RFC 2104) over cluster name and body with
the cluster key, and a thrift body. A replayed datagram is harmless: records are ordered by
incarnation, loads by sequence.
"""

from __future__ import annotations

import hmac
import ipaddress
from collections.abc import Iterable

from runkeel.api.machines import Address, Member, MemberStatus
from runkeel.errors import ErrorCode, RunkeelError
from runkeel.wire.codec import decode, encode
from runkeel.wire.generated.membership.ttypes import Datagram, MemberRecord

MAXIMUM_DATAGRAM_BYTES = 1_200
"""Fits every usual path without fragmentation."""

MAXIMUM_NAME_BYTES = 128
"""Longest node id or zone name."""

RECORDS_BYTES = 800
"""Room for member records in a datagram; the rest is for names, hashes and loads."""

MAC_BYTES = 16
_VERSION = b"\x01"
_PREFIX_BYTES = len(_VERSION) + MAC_BYTES
MAXIMUM_BODY_BYTES = MAXIMUM_DATAGRAM_BYTES - _PREFIX_BYTES
_PORT_BYTES = 2


class DatagramCodec:
    """Seals and opens datagrams with the cluster key."""

    def __init__(self, cluster_name: str, cluster_key: bytes) -> None:
        if not cluster_key:
            raise ValueError("the cluster key is empty")
        self._prefix = cluster_name.encode() + b"\x00"
        self._key = cluster_key

    def seal(self, datagram: Datagram) -> bytes:
        """Return the bytes to send.

        Raises:
            RunkeelError: PROTOCOL_ERROR when the datagram is too large.
        """
        body = encode(datagram)
        if len(body) > MAXIMUM_BODY_BYTES:
            raise RunkeelError(ErrorCode.PROTOCOL_ERROR, f"datagram of {len(body)} bytes")
        return _VERSION + self._mac(body) + body

    def open(self, data: bytes) -> Datagram:
        """Return the datagram that a member of the cluster has sealed.

        Raises:
            RunkeelError: PROTOCOL_ERROR for anything else.
        """
        if len(data) <= _PREFIX_BYTES or data[:1] != _VERSION:
            raise RunkeelError(ErrorCode.PROTOCOL_ERROR, "not a datagram of this version")
        body = data[_PREFIX_BYTES:]
        if not hmac.compare_digest(data[1:_PREFIX_BYTES], self._mac(body)):
            raise RunkeelError(ErrorCode.PROTOCOL_ERROR, "wrong cluster or key")
        datagram = decode(Datagram, body)
        if datagram.kind is None or (not datagram.sender and datagram.sender_number is None):
            raise RunkeelError(ErrorCode.PROTOCOL_ERROR, "incomplete datagram")
        return datagram

    def _mac(self, body: bytes) -> bytes:
        return hmac.digest(self._key, self._prefix + body, "sha256")[:MAC_BYTES]


def record_of(member: Member, with_suspect_address: bool = False) -> MemberRecord:
    """Return the wire form of a member; addresses are left out unless it is alive."""
    record = MemberRecord(member.node_id, member.zone, member.incarnation, int(member.status))
    suspect = member.status is MemberStatus.SUSPECT and with_suspect_address
    if member.status is MemberStatus.ALIVE or suspect:
        record.http = pack_address(member.http)
        record.peer = pack_address(member.peer)
        record.gossip = pack_address(member.gossip)
    return record


def record_size(record: MemberRecord) -> int:
    """Return an upper bound of a record's encoded bytes."""
    addresses = 3 * 20 if record.http is not None else 0
    return 24 + addresses + len(record.node_id.encode()) + len(record.zone.encode())


def split_records(records: Iterable[MemberRecord]) -> list[list[MemberRecord]]:
    """Return the records in lists that each fit a datagram."""
    chunks: list[list[MemberRecord]] = []
    room = 0
    for record in records:
        size = record_size(record)
        if size > room:
            chunks.append([])
            room = RECORDS_BYTES
        chunks[-1].append(record)
        room -= size
    return chunks


def member_of(record: MemberRecord, known: Member | None) -> Member | None:
    """Return the member that a record describes.

    Args:
        known: what is known of the node; gives the addresses that the record leaves out.

    Returns:
        None when neither has the addresses.

    Raises:
        RunkeelError: PROTOCOL_ERROR when the record is malformed.
    """
    try:
        status = MemberStatus(record.status)
        _check_name(record.node_id)
        _check_name(record.zone)
        if record.incarnation is None or record.incarnation < 0:
            raise ValueError("no incarnation")
        if record.http is not None:
            addresses = [unpack_address(a) for a in (record.http, record.peer, record.gossip)]
        elif known is not None:
            addresses = [known.http, known.peer, known.gossip]
        else:
            return None
    except (ValueError, TypeError, AttributeError) as error:
        raise RunkeelError(ErrorCode.PROTOCOL_ERROR, f"bad member record: {error}") from error
    return Member(record.node_id, record.zone, record.incarnation, status, *addresses)


def pack_address(address: Address) -> bytes:
    """Return IP and port as 6 or 18 bytes."""
    return ipaddress.ip_address(address.host).packed + address.port.to_bytes(_PORT_BYTES, "big")


def unpack_address(packed: bytes) -> Address:
    """Return the address; raises ValueError."""
    host = ipaddress.ip_address(bytes(packed[:-_PORT_BYTES]))
    return Address(str(host), int.from_bytes(packed[-_PORT_BYTES:], "big"))


def _check_name(name: str) -> None:
    if not isinstance(name, str) or not 0 < len(name.encode()) <= MAXIMUM_NAME_BYTES:
        raise ValueError(f"bad name {name!r}")
