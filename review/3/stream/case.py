"""Case: a server crashes inside an event, and the client's stream ends as if it were complete."""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from standins.harness import CHAT, MODEL, ZONES, Deployment, run_case, trouble  # noqa: E402
from standins.servers import event_count, event_data  # noqa: E402

STRUCK_PATH = f"{CHAT}d0d0-14"
HALF_AT = 8


def case(deployment: Deployment) -> bool:
    """Return whether a stream ended as complete before its last event."""
    deployment.configure()
    half = {"HalfEventOf": STRUCK_PATH, "HalfAt": HALF_AT, "HalfMs": 500}
    for number in range(4):
        zone = ZONES[number % len(ZONES)]
        deployment.start_server(f"i-model{number}", "model", zone, Framed=False, **half)
    for number, zone in enumerate(ZONES):
        deployment.start_server(f"i-app{number}", "app", zone)
    deployment.start_nodes()
    edge = next(iter(deployment.frontends))
    answers: list[tuple[int, bytes]] = []
    headers = {"Model": MODEL, "Token-Usage": "16,400", "Deadline-Ms": "9000"}
    client = threading.Thread(
        target=lambda: answers.append(
            deployment.call(edge, "POST", STRUCK_PATH, "d0d0d0d0", b"prompt", headers)
        )
    )
    client.start()
    deployment.wait_until("half an event", 10.0, lambda: _half(deployment))
    if trouble():
        time.sleep(0.1)
        deployment.crash_server(_half(deployment))
    client.join()
    status, body = answers[0]
    count = event_count(STRUCK_PATH)
    wanted = "".join(
        f"id: {n}\ndata: {event_data(STRUCK_PATH, n)}\n\n" for n in range(1, count + 1)
    )
    whole = body.decode() == wanted
    deployment.note(f"status {status}, whole: {whole}; the client's HTTP library saw the answer's")
    deployment.note(f"regular end: {status == 200}; body: {body.decode()!r}")
    return status == 200 and not whole


def _half(deployment: Deployment) -> str:
    """Return the id of the server that has written half an event, or an empty string."""
    return next((note["server"] for note in deployment.server_notes if "half" in note), "")


if __name__ == "__main__":
    run_case(FOLDER, case)
