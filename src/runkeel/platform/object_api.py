"""Adapter of the platform's object API; its form is in docs/protocols.md."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar
from urllib.parse import quote

from runkeel.api.machines import Address
from runkeel.errors import ErrorCode, RunkeelError
from runkeel.platform.json_http import JsonHttpClient, JsonResponse, unexpected_status

_WATCH_MARGIN_SECONDS = 5.0
_Parsed = TypeVar("_Parsed")


@dataclass(frozen=True, slots=True)
class ObjectContent:
    """What runkeel writes into an object.

    Attributes:
        command_ids: the latest 16, latest last.
    """

    generation: int
    spec: dict[str, Any]
    deleted: bool = False
    command_ids: tuple[str, ...] = ()
    changed_by: str = ""

    def to_json(self) -> dict[str, Any]:
        """Convert to the JSON form."""
        return {
            "generation": self.generation,
            "deleted": self.deleted,
            "command_ids": list(self.command_ids),
            "changed_by": self.changed_by,
            "spec": self.spec,
        }


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object with the store's revision; content is None where it isn't runkeel's form."""

    kind: str
    name: str
    revision: int
    content: ObjectContent | None


@dataclass(frozen=True, slots=True)
class ObjectList:
    """All objects at a revision."""

    revision: int
    items: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class WatchResult:
    """Objects changed since a revision; ``reset`` when the store doesn't know that revision."""

    revision: int
    items: tuple[StoredObject, ...]
    reset: bool


@dataclass(frozen=True, slots=True)
class WriteResult:
    """Outcome of a conditional write: the object now stored (None: it does not exist)."""

    accepted: bool
    stored: StoredObject | None


class ObjectStore(Protocol):
    """The object API as the state part uses it."""

    def list_objects(self, timeout_seconds: float) -> ObjectList:
        """Return all objects. Raises RunkeelError STORE_UNAVAILABLE."""

    def read(self, kind: str, name: str, timeout_seconds: float) -> StoredObject | None:
        """Return one object. Raises RunkeelError STORE_UNAVAILABLE."""

    def write(
        self,
        kind: str,
        name: str,
        content: ObjectContent,
        expected_revision: int,
        timeout_seconds: float,
    ) -> WriteResult:
        """Write if the stored revision is the expected one (0: the object must not exist).

        Raises:
            RunkeelError: STORE_UNAVAILABLE; NOT_RUN when the request can't have had effect.
        """

    def watch(self, since_revision: int, wait_seconds: float) -> WatchResult:
        """Wait for changes after a revision. Raises RunkeelError STORE_UNAVAILABLE."""


class ObjectApiClient:
    """The object API over HTTP."""

    def __init__(self, address: Address) -> None:
        self._http = JsonHttpClient(address)

    def list_objects(self, timeout_seconds: float) -> ObjectList:
        """Return all objects."""
        body = self._get("/v1/objects", timeout_seconds)
        return _parse(
            lambda: ObjectList(int(body["revision"]), tuple(map(_parse_object, body["items"])))
        )

    def read(self, kind: str, name: str, timeout_seconds: float) -> StoredObject | None:
        """Return one object, or None."""
        response = self._http.call("GET", _object_path(kind, name), timeout_seconds)
        if response.status == 404:
            return None
        body = _expect_ok(response, "read")
        return _parse(lambda: _parse_object(body))

    def write(
        self,
        kind: str,
        name: str,
        content: ObjectContent,
        expected_revision: int,
        timeout_seconds: float,
    ) -> WriteResult:
        """Write by compare-and-swap on the store's revision."""
        path = f"{_object_path(kind, name)}?expect={expected_revision}"
        body = {"content": content.to_json()}
        response = self._http.call("PUT", path, timeout_seconds, body)
        if response.status == 409:
            return _parse(lambda: _parse_conflict(response.body))
        stored = _expect_ok(response, "write")
        return _parse(lambda: WriteResult(True, _parse_object(stored)))

    def watch(self, since_revision: int, wait_seconds: float) -> WatchResult:
        """Long poll for changes."""
        path = f"/v1/watch?since={since_revision}&wait_ms={int(wait_seconds * 1000)}"
        body = self._get(path, wait_seconds + _WATCH_MARGIN_SECONDS)
        return _parse(
            lambda: WatchResult(
                int(body["revision"]),
                tuple(map(_parse_object, body["items"])),
                bool(body.get("reset", False)),
            )
        )

    def _get(self, path: str, timeout_seconds: float) -> Any:
        return _expect_ok(self._http.call("GET", path, timeout_seconds), path)


def _object_path(kind: str, name: str) -> str:
    return f"/v1/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


def _expect_ok(response: JsonResponse, what: str) -> Any:
    if response.status != 200:
        raise unexpected_status(response, what)
    return response.body


def _parse(build: Callable[[], _Parsed]) -> _Parsed:
    """Run a parser; an answer of another form is an error of the store, with unknown effect."""
    try:
        return build()
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        detail = f"answer of an unknown form: {type(error).__name__}: {error}"
        raise RunkeelError(ErrorCode.STORE_UNAVAILABLE, detail) from error


def _parse_conflict(body: dict[str, Any]) -> WriteResult:
    current = body.get("object")
    return WriteResult(False, _parse_object(current) if current is not None else None)


def _parse_object(body: dict[str, Any]) -> StoredObject:
    return StoredObject(
        kind=str(body["kind"]),
        name=str(body["name"]),
        revision=int(body["revision"]),
        content=_parse_content(body["content"]),
    )


def _parse_content(content: Any) -> ObjectContent | None:
    """Parse runkeel's content; an object that someone else wrote gives None."""
    try:
        parsed = ObjectContent(
            generation=int(content["generation"]),
            spec=content["spec"],
            deleted=bool(content.get("deleted", False)),
            command_ids=tuple(str(item) for item in content.get("command_ids", ())),
            changed_by=str(content.get("changed_by", "")),
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return None
    if parsed.generation < 1 or not isinstance(parsed.spec, dict):
        return None
    return parsed
