"""Case: a batch job that was accepted during an outage of the store is never stored."""

from __future__ import annotations

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.harness import ZONES, Deployment, item, run_case, trouble  # noqa: E402

OUTAGE_SECONDS = 4.5
"""Length of ``platform_down`` in the site's list of troubles."""

LARGE_BODY_BYTES = 225_000
PATIENCE_SECONDS = 45.0
"""How long a job is waited for after the store's return; the rules allow RecoverS, 12 s."""


def case(deployment: Deployment) -> bool:
    """Return whether an accepted ordinary job can't be read at the end."""
    deployment.configure()
    for number, zone in enumerate(ZONES):
        deployment.start_server(f"i-model{number}", "model", zone)
        deployment.start_server(f"i-app{number}", "app", zone)
    deployment.start_nodes()
    edges = list(deployment.frontends)
    if trouble():
        deployment.note("the store is down")
        deployment.store.set_down(True)
    down_at = time.monotonic()
    time.sleep(1.0)
    large = [item(f"large{n}", 6, f"g{n}", b"x" * LARGE_BODY_BYTES) for n in range(4)]
    deployment.submit(edges[0], "a1a1a1a1", large)
    time.sleep(0.5)
    accepted = []
    for number in range(3):
        job_id = f"b{number}b{number}b{number}b{number}"
        items = [item(f"{job_id}i{n}", 6, f"{job_id}g{n % 2}") for n in range(8)]
        if deployment.submit(edges[number], job_id, items) == 202:
            accepted.append(job_id)
    time.sleep(max(0.0, down_at + OUTAGE_SECONDS - time.monotonic()))
    if trouble():
        deployment.note("the store is back")
        deployment.store.set_down(False)
    deadline = time.monotonic() + PATIENCE_SECONDS
    left = list(accepted)
    while left and time.monotonic() < deadline:
        time.sleep(1.0)
        for job_id in list(left):
            job = deployment.read_job(edges[0], job_id, quiet=True)
            if job is not None and len(job["Results"]) == job["Total"]:
                left.remove(job_id)
    deployment.note(f"accepted (202): {accepted}; never whole: {left}")
    unreadable = [
        job_id
        for job_id in left
        if all(deployment.read_job(edge, job_id) is None for edge in edges)
    ]
    deployment.note(f"can't be read at any edge machine at the end: {unreadable}")
    stored = deployment.store.objects.names("runkeel-jobs")
    deployment.note(f"jobs in the store: {stored}")
    refused = [write for write in deployment.store.writes if write[5] == 413]
    deployment.note(f"writes that the store refused as larger than value_bytes: {len(refused)}")
    return bool(unreadable)


if __name__ == "__main__":
    run_case(FOLDER, case)
