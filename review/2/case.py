"""Case: a step on a route with SingleVersion never ends after a server is lost for good."""

from __future__ import annotations

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.harness import MODEL, ZONES, Deployment, item, run_case, trouble  # noqa: E402

DEADLINE_SECONDS = 20.0
"""When the step is due and the trainer ends it: ``ResultDeadlineMs`` of the route."""

CONTACT_SECONDS = 3.0
IDLE_SECONDS = 5.0
SHORT_RUN_SECONDS = 1.0
"""A run that its sender ends within this time doesn't count."""

SLOTS = 8
ITEMS = 32
EVENTS = 40


def case(deployment: Deployment) -> bool:
    """Return whether a step timed out with an item that was at no server for 5 s."""
    deployment.configure(SingleVersion=True, ResultDeadlineMs=int(DEADLINE_SECONDS * 1000))
    for number, zone in enumerate(ZONES):
        deployment.start_server(f"i-model{number}", "model", zone, EventMs=50)
        deployment.start_server(f"i-app{number}", "app", zone)
    deployment.start_nodes()
    edge = next(iter(deployment.frontends))
    deployment.name_version(2)
    deployment.wait_until("version 2", 15.0, lambda: len(_at_version(deployment, 2)) == 3)
    warm_up = [item(f"e0i{n}", 4, f"e0g{n % 6}") for n in range(24)]
    deployment.submit(edge, "e0e0e0e0", warm_up, step=1, min_version=1)
    deployment.wait_until("the first step", 20.0, lambda: _listed(deployment, edge, "e0e0e0e0"))
    deployment.end_job(edge, "e0e0e0e0")
    deployment.name_version(3)
    deployment.wait_until("version 3", 15.0, lambda: len(_at_version(deployment, 3)) == 2)
    newest = {"EventMs": 50, "Versions": {MODEL: 3}}
    deployment.start_server("i-model3", "model", ZONES[0], **newest)
    time.sleep(6.5)
    older = {f"i-model{n}" for n in range(3)} - _at_version(deployment, 3)
    deployment.note(f"still at version 2, which the next step allows: {sorted(older)}")
    items = [item(f"e1i{n}", EVENTS, f"e1g{n % 6}") for n in range(ITEMS)]
    submitted_at = time.monotonic()
    deployment.submit(edge, "e1e1e1e1", items, step=2, min_version=2)
    time.sleep(1.0)
    if trouble():
        for server in older:
            deployment.crash_server(server)
    lost_at = time.monotonic()
    while time.monotonic() < submitted_at + DEADLINE_SECONDS:
        if _listed(deployment, edge, "e1e1e1e1") == ITEMS:
            break
        time.sleep(0.5)
    ended_at = time.monotonic()
    job = deployment.read_job(edge, "e1e1e1e1")
    listed = {result["Id"] for result in job["Results"]}
    missing = [one["Id"] for one in items if one["Id"] not in listed]
    deployment.note(f"listed when the trainer ends the step: {len(listed)} of {ITEMS}")
    deployment.end_job(edge, "e1e1e1e1")
    steady_from = lost_at + CONTACT_SECONDS
    # At most as many as these can be at servers, which have SLOTS each.
    under_half_full = len(missing) < SLOTS * (3 if trouble() else 4) / 2
    deployment.note(f"servers under half full: {under_half_full}")
    idle = [one for one in missing if _idle(deployment, one, steady_from, ended_at)]
    deployment.note(f"not listed, and at no server for {IDLE_SECONDS} s of steady state: {idle}")
    return bool(idle) and under_half_full


def _at_version(deployment: Deployment, version: int) -> set[str]:
    """Return the servers that were ordered to a version."""
    return {note["server"] for note in deployment.server_notes if note.get("order") == version}


def _listed(deployment: Deployment, edge: str, job_id: str) -> int:
    """Return the number of results, if they are all listed, else less."""
    job = deployment.read_job(edge, job_id, quiet=True)
    return len(job["Results"]) if job is not None and len(job["Results"]) == job["Total"] else 0


def _idle(deployment: Deployment, item_id: str, start: float, end: float) -> bool:
    """Return whether no server had an item for the last 5 s between two steady times."""
    busy_until = start
    began: dict[str, float] = {}
    for note in list(deployment.server_notes):
        server, at = note["server"], note["at"]
        if note.get("began") == item_id:
            began[server] = at
        elif note.get("ended") == item_id:
            return False
        elif note.get("dropped") == item_id and at - began.pop(server, at) >= SHORT_RUN_SECONDS:
            busy_until = max(busy_until, at)
    crashed = {server for server in began if not deployment.is_running(server)}
    if any(end - at >= SHORT_RUN_SECONDS for server, at in began.items() if server not in crashed):
        return False
    return end - busy_until >= IDLE_SECONDS


if __name__ == "__main__":
    run_case(FOLDER, case)
