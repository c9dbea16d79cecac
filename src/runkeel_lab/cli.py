"""The ``runkeel-lab`` command line.

Exit codes: 0 all holds, 1 something does not hold, 2 wrong usage or files.
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
    """Show a small deployment at work and check what clients and servers saw, in under a minute.

    Example: ``runkeel-lab demo``

    :param out: folder for the nodes' log lines and the picture of the day.
    """
    from runkeel_lab.demo import run_demo

    return EXIT_OK if run_demo(out) else EXIT_VIOLATED


def up(*, edges: int = 2, disks: int = 2, engines: int = 2, applications: int = 2) -> int:
    """Run a whole small deployment on loopback until it is interrupted; print its addresses.

    Example: ``runkeel-lab up --engines 4``

    :param edges: nodes that serve clients.
    :param disks: nodes with a disk, which coordinate.
    :param engines: servers of a model.
    :param applications: plain servers.
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
    edges: int = 3,
    record: Path | None = None,
) -> int:
    """Disturb deployments on the stand-in of the users' platform and check what was acknowledged.

    Example: ``runkeel-lab soak --seed 100 --runs 20``

    :param seed: seed of the first run; each further one takes the next seed.
    :param runs: number of runs, one after another.
    :param seconds: length of the disturbed part of each run in s.
    :param operations: instead of single faults, series that overlap: stops, restarts, changes of
        configuration, outages in which servers lapse; beside clients that keep their connections.
    :param crashes: the same, and requests that crash servers, and servers that end by chance.
    :param servers: the same, and servers that start again under their id, and entries of servers
        that another writer wrote.
    :param edges: number of nodes that serve clients; only with operations, crashes or servers.
    :param record: file for a trace of the last run, which ``replay`` plays again.
    """
    from runkeel_lab.users_platform.crash_soak import CrashSoak
    from runkeel_lab.users_platform.operations_soak import OperationsSoak
    from runkeel_lab.users_platform.servers_soak import ServersSoak
    from runkeel_lab.users_platform.soak import Soak, run_soaks

    def make_soak(number: int) -> Soak:
        if servers:
            return ServersSoak(number, seconds, edges)
        if crashes:
            return CrashSoak(number, seconds, edges)
        return OperationsSoak(number, seconds, edges) if operations else Soak(number, seconds)

    return EXIT_OK if run_soaks(seed, runs, make_soak, record) else EXIT_VIOLATED


def replay(*traces: Path) -> int:
    """Replay recorded traces and compare what comes of them with the outcomes that they state.

    Example: ``runkeel-lab replay traces/*.jsonl``

    :param traces: JSON lines of what was done and the outcome each must have, see docs/lab.md.
    """
    from runkeel_lab.users_platform.replay import replay_files

    return EXIT_OK if replay_files(traces) else EXIT_VIOLATED


def decisions(*, engines: list[int] = [], waiting: int = 5_000) -> int:  # noqa: B006
    """Measure what single decisions cost, in microseconds, at several sizes of the fleet.

    The rows of the quarantine give the number of suspected requests in place of the engines.

    Example: ``runkeel-lab decisions --engines 40 --engines 4200``

    :param engines: numbers of engines and of servers; 40, 400 and 4,200 when none is given.
    :param waiting: items that wait for an engine.
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
    """Print what the nodes' logs tell of a request, an item or a batch job.

    Example: ``runkeel-lab story 7c41e09b52d6a3f8 logs/*.log``

    :param wanted: id of the request, item or batch job.
    :param logs: files with the nodes' log lines, in any order.
    """
    from runkeel_lab.story import collect_story, format_story, read_lines

    found = collect_story(read_lines(logs), wanted)
    print(format_story(found))
    return EXIT_OK if found else EXIT_VIOLATED


def steps(*logs: Path, last_items: int = 3) -> int:
    """Print where the time of each training step went, from the nodes' logs.

    Example: ``runkeel-lab steps logs/*.log``

    :param logs: files with the nodes' log lines, in any order.
    :param last_items: items of each step that are shown run by run, those that ended last.
    """
    from runkeel_lab.step_times import format_steps
    from runkeel_lab.story import read_lines

    print(format_steps(read_lines(logs), last_items))
    return EXIT_OK


def bound(*logs: Path) -> int:
    """Print how far each training step was from the earliest end that its engines allowed.

    Example: ``runkeel-lab bound logs/*.log``

    :param logs: files with the nodes' log lines, in any order.
    """
    from runkeel_lab.step_bound import format_lags, step_lags
    from runkeel_lab.story import read_lines

    print(format_lags(step_lags(read_lines(logs))))
    return EXIT_OK


def worth(*entries: Path, picture: Path | None = None) -> int:
    """Compare the worth of the days of the users' bench by its journal entries.

    Example: ``runkeel-lab worth journal/*-29040c96.json --picture out/worth.png``

    :param entries: journal entries; a row each.
    :param picture: PNG file to draw the days' worth in.
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
            [demo, up, soak, replay, decisions, steps, bound, story, worth],
            version=f"runkeel-lab {runkeel.__version__}",
            short={},
            argparse_kwargs={"prog": "runkeel-lab"},
        )
    except (OSError, ValueError) as error:
        print(f"runkeel-lab: {error}", file=sys.stderr)
        code = EXIT_USAGE
    sys.exit(code)
