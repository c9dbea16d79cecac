"""Encodes and decodes thrift structs in the compact protocol."""

from __future__ import annotations

from typing import Any, TypeVar

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from runkeel.errors import ErrorCode, RunkeelError

MAXIMUM_BODY_BYTES = 16 * 1024 * 1024
"""Largest encoded message."""

MAXIMUM_CONTAINER_ITEMS = 1_000_000
"""Largest list, set or map inside a message."""

Message = TypeVar("Message")

_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAXIMUM_BODY_BYTES,
    container_length_limit=MAXIMUM_CONTAINER_ITEMS,
    fallback=False,
)
_DECODE_ERRORS = (
    TException,
    EOFError,
    TypeError,
    ValueError,
    OverflowError,
    AttributeError,
    RecursionError,
    MemoryError,
)


def encode(message: Any) -> bytes:
    """Return the compact-protocol form of a thrift struct.

    Raises:
        RunkeelError: PROTOCOL_ERROR when a field has a wrong type or the result is too large.
    """
    try:
        body = serialize(message, _FACTORY)
    except _DECODE_ERRORS as error:
        raise _protocol_error(type(message), error) from error
    if len(body) > MAXIMUM_BODY_BYTES:
        raise RunkeelError(
            ErrorCode.PROTOCOL_ERROR, f"{type(message).__name__} of {len(body)} bytes is too large"
        )
    return body


def decode(message_class: type[Message], body: bytes) -> Message:
    """Return the thrift struct that ``body`` holds.

    Raises:
        RunkeelError: PROTOCOL_ERROR when the body is no such struct or is too large.
    """
    if len(body) > MAXIMUM_BODY_BYTES:
        raise RunkeelError(ErrorCode.PROTOCOL_ERROR, f"{len(body)} bytes are too large")
    message = message_class()
    try:
        return deserialize(message, body, _FACTORY)
    except _DECODE_ERRORS as error:
        raise _protocol_error(message_class, error) from error


def _protocol_error(message_class: type, error: BaseException) -> RunkeelError:
    detail = f"{message_class.__name__}: {type(error).__name__}: {error}"
    return RunkeelError(ErrorCode.PROTOCOL_ERROR, detail)
