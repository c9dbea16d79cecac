"""The ``runkeel`` command line.

Exit codes: 0 success, 1 refused or failed, 2 wrong usage or settings, 3 outcome unknown,
4 node unreachable.
"""

from __future__ import annotations

import sys
from pathlib import Path

from gevent import monkey

monkey.patch_all()

import defopt  # noqa: E402  (the standard library must be patched first)

import runkeel  # noqa: E402
from runkeel.settings import SettingsError, load_settings  # noqa: E402

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


def node(*, settings: Path, set: list[str] = []) -> int:  # noqa: A002, B006
    """Run a node until SIGTERM or SIGINT, which are a planned stop.

    Example: ``runkeel node --settings node.toml --set listen.http=127.0.0.1:8080``

    :param settings: TOML file with the node's settings.
    :param set: overrides of the form section.key=value.
    """
    from runkeel.program import run_node

    return run_node(load_settings(settings, set))


def check_settings(file: Path, *, set: list[str] = []) -> int:  # noqa: A002, B006
    """Check a settings file and print nothing but faults.

    Example: ``runkeel check-settings node.toml``

    :param file: TOML file with a node's settings.
    :param set: overrides of the form section.key=value.
    """
    load_settings(file, set)
    return EXIT_OK


def ctl(
    command: str = "",
    *,
    node: str = "http://127.0.0.1:8080",
    format: str = "table",  # noqa: A002
    watch: float = 0.0,
    token_file: Path | None = None,
) -> int:
    """Send one operator's command or query to a node, or open a prompt.

    Examples: ``runkeel ctl 'show backends where zone = "hobart-a"'``,
    ``runkeel ctl 'deploy model settlement version 42'``

    :param command: command or query; empty opens an interactive prompt.
    :param node: base URL of any node.
    :param format: table or json.
    :param watch: repeat a query every so many seconds; 0 asks once.
    :param token_file: file that holds the operator's token.
    """
    from runkeel.operators.ctl import run_ctl

    return run_ctl(command or None, node, format, watch=watch, token_file=token_file)


def main() -> None:
    """Run the command line and exit with its code."""
    try:
        code = defopt.run(
            [node, check_settings, ctl],
            version=f"runkeel {runkeel.__version__}",
            short={},
            argparse_kwargs={"prog": "runkeel"},
        )
    except SettingsError as error:
        print(error.detail, file=sys.stderr)
        code = EXIT_USAGE
    sys.exit(code)
