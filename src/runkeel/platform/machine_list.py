"""Adapter of the platform's machine list; its form is in docs/protocols.md."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from runkeel.api.machines import Address, Machine, MachineKind, MachineState
from runkeel.errors import ErrorCode, RunkeelError
from runkeel.platform.json_http import JsonHttpClient, unexpected_status

_POLL_MARGIN_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class MachineEntry:
    """A machine with all its addresses (``http``, and for nodes ``peer`` and ``gossip``)."""

    machine: Machine
    addresses: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class ListedMachine:
    """An item of the list, not yet parsed: of thousands only the changed ones need to be."""

    machine_id: str
    version: int
    body: Mapping[str, Any]

    def parse(self) -> MachineEntry | None:
        """Parse the item; None where its form is unknown."""
        try:
            return machine_from_json(self.machine_id, self.version, self.body)
        except (KeyError, TypeError, ValueError, AttributeError):
            return None


@dataclass(frozen=True, slots=True)
class MachineList:
    """The whole list at a version."""

    version: int
    items: tuple[ListedMachine, ...]


class MachineListSource(Protocol):
    """The machine list as the state part uses it."""

    def poll(self, since_version: int, wait_seconds: float) -> MachineList:
        """Return the list as soon as its version differs. Raises RunkeelError."""


class MachineListClient:
    """The machine list over HTTP."""

    def __init__(self, address: Address) -> None:
        self._http = JsonHttpClient(address)

    def poll(self, since_version: int, wait_seconds: float) -> MachineList:
        """Long poll for the list.

        Raises:
            RunkeelError: STORE_UNAVAILABLE.
        """
        path = f"/v1/machines?since={since_version}&wait_ms={int(wait_seconds * 1000)}"
        response = self._http.call("GET", path, wait_seconds + _POLL_MARGIN_SECONDS)
        if response.status != 200:
            raise unexpected_status(response, "machine list")
        try:
            return _parse_list(response.body)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            detail = f"machine list of an unknown form: {type(error).__name__}: {error}"
            raise RunkeelError(ErrorCode.STORE_UNAVAILABLE, detail) from error


def machine_to_json(entry: MachineEntry) -> dict[str, Any]:
    """Convert to the JSON form, without id and version."""
    machine = entry.machine
    return {
        "kind": machine.kind.value,
        "zone": machine.zone,
        "pool": machine.pool,
        "addresses": dict(entry.addresses),
        "state": machine.state.value,
    }


def machine_from_json(machine_id: str, version: int, body: Mapping[str, Any]) -> MachineEntry:
    """Parse the JSON form.

    Raises:
        KeyError, TypeError, ValueError, AttributeError: another form.
    """
    addresses = {str(key): str(value) for key, value in body["addresses"].items()}
    http = addresses.get("http")
    machine = Machine(
        machine_id=machine_id,
        kind=MachineKind(body["kind"]),
        zone=str(body["zone"]),
        pool=str(body.get("pool", "")),
        http=Address.parse(http) if http else None,
        state=MachineState(body["state"]),
        version=version,
    )
    return MachineEntry(machine, addresses)


def _parse_list(body: Mapping[str, Any]) -> MachineList:
    items = tuple(
        ListedMachine(str(item["id"]), int(item["version"]), item) for item in body["machines"]
    )
    return MachineList(int(body["version"]), items)
