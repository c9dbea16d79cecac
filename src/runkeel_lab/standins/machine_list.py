"""Stand-in for the platform's machine list, which shows changes with a lag."""

from __future__ import annotations

import time
from typing import Any, Literal

import gevent
from gevent.event import Event
from pydantic import BaseModel, ConfigDict, Field

from runkeel_lab.standins.faults import FaultKind
from runkeel_lab.standins.http import Request, Response, error_response, json_response
from runkeel_lab.standins.server import StandIn, StandInOptions

MAX_WAIT_MS = 60_000


class ListedMachine(BaseModel):
    """A machine as the lab enters it; the list adds ``version``."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    id: str
    kind: Literal["node", "engine", "application", "scorer"]
    zone: str
    pool: str = ""
    addresses: dict[Literal["http", "peer", "gossip"], str]
    state: Literal["live", "leaving"] = "live"


class MachineListOptions(StandInOptions):
    """Options of the machine list.

    Attributes:
        lag_ms: how long after a change the list shows it.
        machines: shown from the start.
    """

    lag_ms: int = Field(default=2000, ge=0)
    machines: tuple[ListedMachine, ...] = ()


class MachineList(StandIn):
    """Machine list over HTTP.

    The lab changes it with ``PUT`` and ``DELETE /fault/machines/{id}``, and with
    ``PUT /fault/machines`` (``{"machines": [...]}``) for many at once. ``?lag_ms=``
    overrides the lag of one change.
    """

    kind = "machine_list"
    options_class = MachineListOptions
    supported_faults = frozenset({FaultKind.DOWN, FaultKind.SLOW, FaultKind.HANG, FaultKind.ERROR})

    def reset(self) -> None:
        """Show the machines of the options."""
        self._version = 0
        self._shown: dict[str, tuple[ListedMachine, int]] = {}
        self._changed = Event()
        self._show({machine.id: machine for machine in self.options.machines})

    def handle(self, request: Request) -> Response:
        """Answer ``GET /v1/machines``."""
        self.faults.wait_while(FaultKind.HANG)
        if request.method != "GET" or request.segments != ["v1", "machines"]:
            return error_response(404, "no such path")
        since = request.integer("since", 0)
        wait_ms = min(request.integer("wait_ms", 0), MAX_WAIT_MS)
        deadline = time.monotonic() + wait_ms / 1000
        while self._version == since and (remaining := deadline - time.monotonic()) > 0:
            self._changed.wait(remaining)
        return json_response(200, self._view())

    def _view(self) -> dict[str, Any]:
        machines = [
            {**machine.model_dump(), "version": version}
            for machine, version in self._shown.values()
        ]
        return {"version": self._version, "machines": machines}

    def control(self, request: Request) -> Response:
        """Enter, alter or remove machines."""
        parts = request.segments
        if parts[:2] != ["fault", "machines"] or len(parts) > 3:
            return error_response(404, "no such control")
        changes = self._changes(request, parts[2] if len(parts) == 3 else None)
        if changes is None:
            return error_response(405, "PUT or DELETE")
        self._change_later(changes, request.integer("lag_ms", self.options.lag_ms))
        return json_response(200, {"changed": len(changes)})

    def _changes(
        self, request: Request, machine_id: str | None
    ) -> dict[str, ListedMachine | None] | None:
        if request.method == "DELETE" and machine_id is not None:
            return {machine_id: None}
        if request.method != "PUT":
            return None
        body = request.json_object()
        if machine_id is not None:
            return {machine_id: ListedMachine.model_validate({**body, "id": machine_id})}
        machines = [ListedMachine.model_validate(item) for item in body.get("machines", [])]
        return {machine.id: machine for machine in machines}

    def _change_later(self, changes: dict[str, ListedMachine | None], lag_ms: int) -> None:
        for machine_id, machine in changes.items():
            state = "removed" if machine is None else machine.state
            self.journal.write("machine_changed", machine=machine_id, state=state, lag_ms=lag_ms)
        if lag_ms == 0:
            self._show(changes)
            return
        self.spawn(self._show_after, changes, lag_ms)

    def _show_after(self, changes: dict[str, ListedMachine | None], lag_ms: int) -> None:
        gevent.sleep(lag_ms / 1000)
        self._show(changes)

    def _show(self, changes: dict[str, ListedMachine | None]) -> None:
        if not changes:
            return
        self._version += 1
        for machine_id, machine in changes.items():
            if machine is None:
                self._shown.pop(machine_id, None)
            else:
                self._shown[machine_id] = (machine, self._version)
            state = "removed" if machine is None else machine.state
            self.journal.write(
                "machine_shown", machine=machine_id, state=state, version=self._version
            )
        self._changed.set()
        self._changed.clear()

    def fault_state(self) -> dict[str, Any]:
        """Return the list's version and size."""
        return {"version": self._version, "machines": len(self._shown)}
