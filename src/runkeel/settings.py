"""A node's settings: a TOML file, overridden by environment variables and flags.

Precedence, lowest first: file, environment (``RUNKEEL_SECTION__KEY=value``), flags
(``--set section.key=value``). Unknown keys are refused. Every fault is one
:class:`SettingsError` that names the file, the key, what was found and what is wanted.
"""

from __future__ import annotations

import os
import tempfile
import tomllib
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, Literal
from urllib.parse import urlsplit

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator, model_validator

from runkeel.api.machines import Address
from runkeel.api.placement import PlacementPolicy
from runkeel.errors import ErrorCode, RunkeelError, Verdict

ENVIRONMENT_PREFIX = "RUNKEEL_"
_ENVIRONMENT_SEPARATOR = "__"
_IDENTIFIER = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"


class SettingsError(RunkeelError):
    """Settings that cannot be used; one line for the operator."""

    def __init__(self, source: str, key: str, problem: str) -> None:
        super().__init__(ErrorCode.BAD_SETTINGS, f"{source}: {key}: {problem}", Verdict.NOT_RUN)


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


def _checked_address(text: str) -> str:
    address = Address.parse(text)
    parts = address.host.split(".")
    if len(parts) != 4 or not all(part.isdigit() and int(part) < 256 for part in parts):
        raise ValueError(f"not an IPv4 address and port: {text!r}")
    return text


def _checked_url(text: str) -> str:
    parts = urlsplit(text)
    if parts.scheme != "http" or not parts.hostname or parts.path not in ("", "/"):
        raise ValueError(f"not of the form http://ip:port: {text!r}")
    if parts.port is None:
        raise ValueError(f"no port in {text!r}")
    return text.rstrip("/")


class NodeSettings(_Section):
    """Who this node is."""

    id: str = Field(pattern=_IDENTIFIER)
    """Name, unique in the cluster."""
    zone: str = Field(pattern=_IDENTIFIER)
    data_folder: str = ""
    """Folder for bulk data; empty when the machine keeps nothing."""
    data_limit_mb: int = Field(1_024, gt=0)
    """Bound on the disk space used in the data folder, in MB."""


class ListenSettings(_Section):
    """Where this node listens; port 0 takes a free port from the kernel."""

    http: str = "127.0.0.1:0"
    """Callers, trainers and operators (TCP)."""
    peer: str = "127.0.0.1:0"
    """Other nodes (TCP)."""
    gossip: str = "127.0.0.1:0"
    """Heartbeats (UDP)."""

    _check = field_validator("http", "peer", "gossip")(_checked_address)

    @model_validator(mode="after")
    def _check_distinct(self) -> ListenSettings:
        if self.http == self.peer and not self.http.endswith(":0"):
            raise ValueError(f"http and peer are both on {self.http}")
        return self


class ClusterSettings(_Section):
    """Which cluster this node belongs to."""

    name: str = Field(pattern=_IDENTIFIER)
    key: str = Field(min_length=6)
    """Shared secret that authenticates nodes to each other."""
    seeds: tuple[str, ...] = ()
    """Gossip addresses of some nodes to join through."""
    zones: tuple[str, ...] = ()
    """All zones that have nodes. A replica group is formed once every one of them is in sight."""
    zones_wait_s: float = Field(30.0, gt=0)
    """After so long a group is formed without the zones that are missing, in s."""

    @field_validator("seeds")
    @classmethod
    def _check_seeds(cls, seeds: tuple[str, ...]) -> tuple[str, ...]:
        return tuple(_checked_address(seed) for seed in seeds)


class PlatformSettings(_Section):
    """Base URLs of the platform's services."""

    object_api: str
    machine_list: str
    weight_store: str

    _check = field_validator("object_api", "machine_list", "weight_store")(_checked_url)


class LogSettings(_Section):
    """Structured logs, written to standard error."""

    level: Literal["trace", "debug", "info", "warning", "error"] = "info"
    format: Literal["json", "text"] = "json"


class LimitSettings(_Section):
    """Bounds that protect this node."""

    max_connections: int = Field(4_096, gt=0)
    """Open HTTP connections."""
    max_body_bytes: int = Field(8 * 1024 * 1024, gt=0)
    idle_connection_s: float = Field(60.0, gt=0)
    """A connection that sends no complete request for this long is closed, in s."""
    stop_timeout_s: float = Field(120.0, gt=0)
    """How long a planned stop waits for work in flight, in s."""


class RecordSettings(_Section):
    """Replicated records."""

    groups: int = Field(1, ge=1, le=4_096)
    """Number of replica groups; the same on every node."""
    retention_s: float = Field(900.0, gt=0)
    """How long a decided record is kept, in s."""


class RequestSettings(_Section):
    """Callers' requests."""

    placement: PlacementPolicy = PlacementPolicy.LEAST_LOADED
    """The same on every node; all but ``least_loaded`` are baselines for measurement."""


class OperatorSettings(_Section):
    """Operators' access."""

    open: bool = False
    """Accept commands without a token while no operator object exists."""


class Settings(_Section):
    """All settings of a node."""

    node: NodeSettings
    listen: ListenSettings = ListenSettings()
    cluster: ClusterSettings
    platform: PlatformSettings
    logs: LogSettings = LogSettings()
    limits: LimitSettings = LimitSettings()
    records: RecordSettings = RecordSettings()
    requests: RequestSettings = RequestSettings()
    operators: OperatorSettings = OperatorSettings()


def load_settings(
    path: Path, overrides: Sequence[str] = (), environment: Mapping[str, str] = os.environ
) -> Settings:
    """Read, override and check settings.

    Args:
        path: TOML file.
        overrides: ``section.key=value`` texts, the strongest source.
        environment: variables named ``RUNKEEL_SECTION__KEY``.

    Raises:
        SettingsError: the file cannot be read, or a value is not usable.
    """
    document = _read_document(path)
    for name, value in environment.items():
        if name.startswith(ENVIRONMENT_PREFIX) and _ENVIRONMENT_SEPARATOR in name:
            key = name.removeprefix(ENVIRONMENT_PREFIX).lower().split(_ENVIRONMENT_SEPARATOR)
            _override(document, key, value, f"environment {name}")
    for override in overrides:
        key_text, separator, value = override.partition("=")
        if not separator:
            raise SettingsError("--set", override, "wanted section.key=value")
        _override(document, key_text.split("."), value, "--set")
    try:
        settings = Settings.model_validate(document)
    except ValidationError as error:
        raise _first_problem(str(path), error) from None
    _check_data_folder(str(path), settings.node.data_folder)
    return settings


def _read_document(path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text("utf-8"))
    except OSError as error:
        raise SettingsError(str(path), "file", error.strerror or "cannot be read") from None
    except UnicodeDecodeError:
        raise SettingsError(str(path), "file", "not UTF-8 text") from None
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(str(path), "file", f"not TOML: {error}") from None


def _override(document: dict[str, Any], key: list[str], value: str, source: str) -> None:
    if len(key) != 2:
        raise SettingsError(source, ".".join(key), "wanted section.key")
    section = document.setdefault(key[0], {})
    if not isinstance(section, dict):
        raise SettingsError(source, key[0], "is not a section")
    section[key[1]] = _parsed_value(value)


def _parsed_value(text: str) -> Any:
    """Read a value as TOML would, or as plain text when it is no TOML value."""
    try:
        return tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        return text


def _first_problem(source: str, error: ValidationError) -> SettingsError:
    problem = error.errors(include_url=False)[0]
    key = ".".join(str(part) for part in problem["loc"]) or "file"
    message = problem["msg"].removeprefix("Value error, ")
    if problem["type"] == "extra_forbidden":
        return SettingsError(source, key, "unknown key")
    if problem["type"] == "missing":
        return SettingsError(source, key, "is missing")
    return SettingsError(source, key, f"found {problem['input']!r}; {message}")


def _check_data_folder(source: str, folder: str) -> None:
    if not folder:
        return
    try:
        Path(folder).mkdir(parents=True, exist_ok=True)
        with tempfile.TemporaryFile(dir=folder):
            pass
    except OSError as error:
        raise SettingsError(
            source, "node.data_folder", f"found {folder!r}; cannot be written: {error.strerror}"
        ) from None
