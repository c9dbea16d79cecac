"""Encoding of thrift structs in the compact protocol."""

from __future__ import annotations

from typing import Any, TypeVar

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from runkeel.errors import ErrorCode, RunkeelError

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Largest encoded message, in bytes."""

MAX_CONTAINER_ITEMS = 1_000_000
"""Most entries of a list, set or map in a message."""

Message = TypeVar("Message")

_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_BODY_BYTES,
    container_length_limit=MAX_CONTAINER_ITEMS,
    fallback=False,
)
_CODEC_ERRORS = (
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
    """Encode a thrift struct.

    Raises:
        RunkeelError: PROTOCOL_ERROR when a field has the wrong type or the message is too large.
    """
    try:
        body = serialize(message, _FACTORY)
    except _CODEC_ERRORS as error:
        raise _protocol_error(type(message), error) from error
    if len(body) > MAX_BODY_BYTES:
        raise RunkeelError(
            ErrorCode.PROTOCOL_ERROR, f"{type(message).__name__} of {len(body)} bytes is too large"
        )
    return body


def decode(message_class: type[Message], body: bytes) -> Message:
    """Decode a thrift struct.

    Raises:
        RunkeelError: PROTOCOL_ERROR when the body is malformed or too large.
    """
    if len(body) > MAX_BODY_BYTES:
        raise RunkeelError(
            ErrorCode.PROTOCOL_ERROR, f"message body of {len(body)} bytes is too large"
        )
    message = message_class()
    try:
        return deserialize(message, body, _FACTORY)
    except _CODEC_ERRORS as error:
        raise _protocol_error(message_class, error) from error


def _protocol_error(message_class: type, error: BaseException) -> RunkeelError:
    detail = f"{message_class.__name__}: {type(error).__name__}: {error}"
    return RunkeelError(ErrorCode.PROTOCOL_ERROR, detail)
