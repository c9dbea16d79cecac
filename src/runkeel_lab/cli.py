"""The ``runkeel-lab`` command line.

Exit codes: 0 success, 1 a check failed or an id was not found, 2 wrong usage or files.
"""

from __future__ import annotations

import sys
from pathlib import Path

from gevent import monkey

monkey.patch_all()

import defopt  # noqa: E402  (the standard library must be patched first)

import runkeel  # noqa: E402

EXIT_OK = 0
EXIT_VIOLATED = 1
EXIT_USAGE = 2


def demo(*, out: Path = Path("out/demo")) -> int:
    """Run a small deployment and check what clients and servers saw, in under a minute.

    Example: ``runkeel-lab demo``

    :param out: folder for the nodes' log and the chart.
    """
    from runkeel_lab.demo import run_demo

    return EXIT_OK if run_demo(out) else EXIT_VIOLATED


def up(*, edges: int = 2, disks: int = 2, engines: int = 2, applications: int = 2) -> int:
    """Run a small deployment on loopback until interrupted; print its addresses.

    Example: ``runkeel-lab up --engines 4``

    :param edges: number of nodes that serve clients.
    :param disks: number of nodes with a disk, which coordinate.
    :param engines: number of model servers.
    :param applications: number of application servers.
    """
    from runkeel_lab.users_platform.running import run_until_stopped

    run_until_stopped(edges, disks, engines, applications)
    return EXIT_OK


def soak(
    *,
    seed: int = 1,
    runs: int = 1,
    seconds: float = 20.0,
    operations: bool = False,
    crashes: bool = False,
    servers: bool = False,
    partitions: bool = False,
    stops: bool = False,
    edges: int = 3,
    record: Path | None = None,
) -> int:
    """Inject faults into deployments on the stand-in platform and check acknowledged work.

    Example: ``runkeel-lab soak --seed 100 --runs 20``

    :param seed: seed of the first run; it increases by one with each run.
    :param runs: number of consecutive runs.
    :param seconds: time in seconds during which faults are injected in each run.
    :param operations: inject overlapping stops, restarts, configuration changes and store outages
        instead of single faults, with clients that keep their connections.
    :param crashes: as operations, with requests that crash servers and random crashes.
    :param servers: as crashes, with servers restarted under the same id and invalid server
        entries by another writer.
    :param partitions: cut off zones instead, with kills, stops and store faults that overlap.
    :param stops: stop all nodes that serve clients, under clients with open connections; lasts for
        the grace period.
    :param edges: number of nodes that serve clients; only with operations, crashes, servers or
        stops.
    :param record: file for a trace of the last run, for ``replay``.
    """
    from runkeel_lab.users_platform.crash_soak import CrashSoak
    from runkeel_lab.users_platform.operations_soak import OperationsSoak
    from runkeel_lab.users_platform.partition_soak import PartitionSoak
    from runkeel_lab.users_platform.servers_soak import ServersSoak
    from runkeel_lab.users_platform.soak import Soak, SoakRun, run_soaks
    from runkeel_lab.users_platform.stop_soak import StopSoak

    if stops and record is not None:
        print("--record: a soak of stops has no trace")
        return EXIT_VIOLATED

    def make_soak(number: int) -> SoakRun:
        if stops:
            return StopSoak(number, edges)
        if partitions:
            return PartitionSoak(number, seconds)
        if servers:
            return ServersSoak(number, seconds, edges)
        if crashes:
            return CrashSoak(number, seconds, edges)
        return OperationsSoak(number, seconds, edges) if operations else Soak(number, seconds)

    return EXIT_OK if run_soaks(seed, runs, make_soak, record) else EXIT_VIOLATED


def feed_soak(
    *, seed: int = 1, runs: int = 50, seconds: float = 9.0, propagation: float = 3.0
) -> int:
    """Check that changes reach a node in time while links and coordinators stall.

    Example: ``runkeel-lab feed-soak --seed 100 --runs 200``

    :param seed: seed of the first run; it increases by one with each run.
    :param runs: number of runs, of which up to 50 run at once.
    :param seconds: time in seconds during which faults are injected in each run.
    :param propagation: maximum time in seconds in which a change must reach the node.
    """
    from runkeel_lab.feed_soak import run_and_print

    in_time = run_and_print(range(seed, seed + runs), seconds, propagation)
    return EXIT_OK if in_time else EXIT_VIOLATED


def replay(*traces: Path) -> int:
    """Replay recorded traces and check the outcomes stated in them.

    Example: ``runkeel-lab replay traces/*.jsonl``

    :param traces: files of JSON lines with acts and their expected outcomes, see docs/lab.md.
    """
    from runkeel_lab.users_platform.replay import replay_files

    return EXIT_OK if replay_files(traces) else EXIT_VIOLATED


def decisions(*, engines: list[int] = [], waiting: int = 5_000) -> int:  # noqa: B006
    """Measure the time of single decisions, in microseconds, at several fleet sizes.

    In the rows of the quarantine, the engines column is the number of suspected requests.

    Example: ``runkeel-lab decisions --engines 40 --engines 4200``

    :param engines: numbers of engines; defaults to 40, 400 and 4,200.
    :param waiting: number of items that wait for an engine.
    """
    from runkeel_lab.decisions import (
        DEFAULT_ENGINE_COUNTS,
        format_costs,
        measure,
        measure_quarantine,
    )

    costs = [cost for size in engines or DEFAULT_ENGINE_COUNTS for cost in measure(size, waiting)]
    print(format_costs([*costs, *measure_quarantine()]))
    return EXIT_OK


def story(wanted: str, *logs: Path) -> int:
    """Print the timeline of a request, an item or a batch job from the nodes' logs.

    Example: ``runkeel-lab story 7c41e09b52d6a3f8 logs/*.log``

    :param wanted: id of the request, item or batch job.
    :param logs: files with the nodes' log lines, in any order.
    """
    from runkeel_lab.story import collect_story, format_story, read_lines

    found = collect_story(read_lines(logs), wanted)
    print(format_story(found))
    return EXIT_OK if found else EXIT_VIOLATED


def steps(*logs: Path, last_items: int = 3) -> int:
    """Print a breakdown of the time of each training step, from the nodes' logs.

    Example: ``runkeel-lab steps logs/*.log``

    :param logs: files with the nodes' log lines, in any order.
    :param last_items: number of items per step to show run by run, those that ended last.
    """
    from runkeel_lab.step_times import format_steps
    from runkeel_lab.story import read_lines

    print(format_steps(read_lines(logs), last_items))
    return EXIT_OK


def bound(*logs: Path) -> int:
    """Print the lag of each training step behind the lower bound of its duration.

    Example: ``runkeel-lab bound logs/*.log``

    :param logs: files with the nodes' log lines, in any order.
    """
    from runkeel_lab.step_bound import format_lags, step_lags
    from runkeel_lab.story import read_lines

    print(format_lags(step_lags(read_lines(logs))))
    return EXIT_OK


def worth(*entries: Path, picture: Path | None = None) -> int:
    """Compare the worth (score) of the days in journal entries of the users' benchmark.

    Example: ``runkeel-lab worth journal/*-29040c96.json --picture out/worth.png``

    :param entries: journal entries, one table row each.
    :param picture: PNG file for a chart of the worth of each day.
    """
    from runkeel_lab.users_platform.bench_journal import (
        format_entries,
        plot_entries,
        read_entry,
    )

    found = [read_entry(path) for path in entries]
    print(format_entries(found))
    if picture is not None:
        plot_entries(found, picture)
    return EXIT_OK


def main() -> None:
    """Run the command line and exit with its code."""
    try:
        code = defopt.run(
            [demo, up, soak, feed_soak, replay, decisions, steps, bound, story, worth],
            version=f"runkeel-lab {runkeel.__version__}",
            short={},
            argparse_kwargs={"prog": "runkeel-lab"},
        )
    except (OSError, ValueError) as error:
        print(f"runkeel-lab: {error}", file=sys.stderr)
        code = EXIT_USAGE
    sys.exit(code)
