"""The ``runkeel`` command line, which queries the nodes of a deployment.

Exit codes: 0 success, 1 refused or failed, 2 usage error, 3 outcome unknown, 4 node unreachable.
"""

from __future__ import annotations

import sys
from pathlib import Path

from gevent import monkey

monkey.patch_all()

import defopt  # noqa: E402  (gevent must patch the standard library first)

import runkeel  # noqa: E402

DEFAULT_NODE = "http://127.0.0.1:9464"


def ctl(
    command: str = "",
    *,
    node: str = DEFAULT_NODE,
    format: str = "table",  # noqa: A002
    watch: float = 0.0,
    token_file: Path | None = None,
) -> int:
    """Send an operator query to a node, or open an interactive prompt.

    Examples: ``runkeel ctl 'show node'``,
    ``runkeel ctl 'show backends where zone = "hobart-a"' --node http://10.1.0.10:9464``

    :param command: query; an empty one opens an interactive prompt.
    :param node: base URL of a node's operator listener.
    :param format: output format, table or json.
    :param watch: interval in seconds at which the query is repeated; 0 runs it once.
    :param token_file: file that contains the operator token.
    """
    from runkeel.operators.ctl import run_ctl

    return run_ctl(command or None, node, format, watch=watch, token_file=token_file)


def main() -> None:
    """Run the command line and exit with its exit code."""
    code = defopt.run(
        [ctl],
        version=f"runkeel {runkeel.__version__}",
        short={},
        argparse_kwargs={"prog": "runkeel"},
    )
    sys.exit(code)
