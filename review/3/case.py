"""Case: a server crashes inside an event, and the text so far is listed as the whole output."""

from __future__ import annotations

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.harness import DRAFT, ZONES, Deployment, item, run_case, trouble  # noqa: E402
from standins.servers import whole_text  # noqa: E402

JOB = "c0c0c0c0"
EVENTS = 14
STRUCK = "c0c0c0c0i0"
STRUCK_PATH = f"{DRAFT}{STRUCK}-{EVENTS}"
HALF_AT = 8
PATIENCE_SECONDS = 30.0


def case(deployment: Deployment) -> bool:
    """Return whether a result is listed as completed with a text that is not whole."""
    deployment.configure()
    half = {"HalfEventOf": STRUCK_PATH, "HalfAt": HALF_AT, "HalfMs": 500}
    for number in range(4):
        zone = ZONES[number % len(ZONES)]
        deployment.start_server(f"i-model{number}", "model", zone, Framed=False, **half)
    for number, zone in enumerate(ZONES):
        deployment.start_server(f"i-app{number}", "app", zone)
    deployment.start_nodes()
    edge = next(iter(deployment.frontends))
    items = [item(f"{JOB}i{n}", EVENTS, f"{JOB}g{n % 2}") for n in range(4)]
    deployment.submit(edge, JOB, items)
    deployment.wait_until("half an event", 10.0, lambda: _half(deployment))
    if trouble():
        time.sleep(0.1)
        deployment.crash_server(_half(deployment))
    deadline = time.monotonic() + PATIENCE_SECONDS
    results = []
    while len(results) < len(items) and time.monotonic() < deadline:
        time.sleep(0.5)
        job = deployment.read_job(edge, JOB)
        results = job["Results"] if job is not None else []
    broken = False
    for result in results:
        path = f"{DRAFT}{result['Id']}-{EVENTS}"
        whole = result["Text"] == whole_text(path)
        events = result["Text"].count("\n") + 1
        deployment.note(
            f"result {result['Id']}: {result['State']}, {events} of {EVENTS} events, whole: {whole}"
        )
        broken = broken or (result["State"] == "completed" and not whole)
    return broken


def _half(deployment: Deployment) -> str:
    """Return the id of the server that has written half an event, or an empty string."""
    return next((note["server"] for note in deployment.server_notes if "half" in note), "")


if __name__ == "__main__":
    run_case(FOLDER, case)
