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


def standins(file: Path) -> int:
    """Run the stand-ins that a file describes until SIGTERM; print their addresses when ready.

    Example: ``runkeel-lab standins platform.toml``

    :param file: TOML file with [[standin]] tables.
    """
    from runkeel_lab.standins.process import run_standins

    return run_standins(file) or EXIT_OK


def demo(*, out: Path = Path("out/demo")) -> int:
    """Run the food bank at its size of today and check what was seen, in under a minute.

    Example: ``runkeel-lab demo``

    :param out: folder for logs, journals and the report.
    """
    from runkeel_lab.demo import run_demo

    return EXIT_OK if run_demo(out) else EXIT_VIOLATED


def run(
    experiment: Path,
    *,
    out: Path = Path("out/run"),
    seconds: float = 0.0,
    seed: int = 0,
    scale: float = 1.0,
) -> int:
    """Run an experiment; write report.json and plots.

    Example: ``runkeel-lab run examples/experiments/food-bank-quiet.toml --out out/quiet``

    :param experiment: TOML file, see docs/lab.md.
    :param out: folder for logs, journals, the report and plots.
    :param seconds: length of the load in s; 0 takes the experiment's.
    :param seed: seed of all random choices; 0 takes the experiment's.
    :param scale: multiplies rates of callers and counts of engines and servers.
    """
    from runkeel_lab.runner import run_experiment_file

    return EXIT_OK if run_experiment_file(experiment, out, seconds, seed, scale) else EXIT_VIOLATED


def sweep(
    *experiments: Path,
    out: Path = Path("out/sweep"),
    seconds: float = 0.0,
    seed: int = 0,
    pairs: bool = False,
) -> int:
    """Run several experiments one after another and list their violations.

    Example: ``runkeel-lab sweep examples/experiments/food-bank-*.toml``

    :param experiments: TOML files, see docs/lab.md.
    :param out: folder for a folder of each run.
    :param seconds: length of each load in s; 0 takes the experiment's.
    :param seed: seed of all random choices; 0 takes the experiment's.
    :param pairs: run each two experiments' faults together instead of each alone.
    """
    from runkeel_lab.sweep import run_sweep

    return EXIT_OK if run_sweep(experiments, out, seconds, seed, pairs) else EXIT_VIOLATED


def replay(trace: Path, *, out: Path = Path("out/replay")) -> int:
    """Replay a recorded trace and compare with its stated outcomes.

    Example: ``runkeel-lab replay traces/food-bank-quiet.jsonl``

    :param trace: JSON lines of stimuli and stated outcomes, see docs/lab.md.
    :param out: folder for logs and journals.
    """
    from runkeel_lab.replay import replay_trace

    return EXIT_OK if replay_trace(trace, out) else EXIT_VIOLATED


def soak(*, seed: int = 1, runs: int = 1, seconds: float = 20.0) -> int:
    """Disturb deployments on the stand-in of the users' platform and check what was acknowledged.

    Example: ``runkeel-lab soak --seed 100 --runs 20``

    :param seed: seed of the first run; each further one takes the next seed.
    :param runs: number of runs, one after another.
    :param seconds: length of the disturbed part of each run in s.
    """
    from runkeel_lab.users_platform.soak import run_soaks

    return EXIT_OK if run_soaks(seed, runs, seconds) else EXIT_VIOLATED


def story(wanted: str, *logs: Path) -> int:
    """Print what the nodes' logs tell of a request, an item or a batch job.

    Example: ``runkeel-lab story 7c41e09b52d6a3f8 logs/*.log``

    :param wanted: id of the request, item or batch job.
    :param logs: files with the nodes' log lines, in any order.
    """
    from runkeel_lab.story import format_story, read_lines, story_of

    found = story_of(read_lines(logs), wanted)
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
    from runkeel_lab.processes import LabError

    try:
        code = defopt.run(
            [standins, demo, run, sweep, replay, soak, steps, story, worth],
            version=f"runkeel-lab {runkeel.__version__}",
            short={},
            argparse_kwargs={"prog": "runkeel-lab"},
        )
    except (LabError, OSError, ValueError) as error:
        print(f"runkeel-lab: {error}", file=sys.stderr)
        code = EXIT_USAGE
    sys.exit(code)
