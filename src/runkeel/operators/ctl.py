"""The ``runkeel ctl`` command line: a single command, a repeated query, or a prompt."""

from __future__ import annotations

import enum
import sys
import time
from pathlib import Path

from runkeel.errors import ErrorCode, RunkeelError, Verdict
from runkeel.operators.client import OperatorClient, is_query
from runkeel.operators.rendering import FORMATS, render

_CLEAR_SCREEN = "\x1b[2J\x1b[H"
_USAGE_CODES = {ErrorCode.BAD_COMMAND, ErrorCode.BAD_REQUEST}


class ExitCode(enum.IntEnum):
    """Stable exit codes for scripts."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    OUTCOME_UNKNOWN = 3
    UNREACHABLE = 4


def run_ctl(
    command: str | None,
    node: str,
    output_format: str = "table",
    watch: float = 0.0,
    token_file: Path | None = None,
) -> int:
    """Run one command or query, or a prompt if none is given; return the exit code.

    Args:
        node: base URL of any node.
        output_format: ``table`` or ``json``.
        watch: seconds between repetitions of a query, until interrupted; 0 runs it once.
        token_file: file that holds the operator's bearer token.
    """
    usage_error = _usage_error(command, output_format, watch)
    if usage_error:
        return _fail(usage_error, ExitCode.USAGE)
    try:
        token = token_file.read_text().strip() if token_file is not None else ""
        client = OperatorClient(node, token)
    except OSError as error:
        return _fail(f"token file: {error}", ExitCode.USAGE)
    except RunkeelError as error:
        return _fail(error.detail, ExitCode.USAGE)
    if command is None:
        from runkeel.operators.prompt import run_prompt

        return run_prompt(client, lambda line: run_once(client, line, output_format))
    if watch > 0:
        return _watch(client, command, output_format, watch)
    return run_once(client, command, output_format)


def run_once(client: OperatorClient, command: str, output_format: str) -> ExitCode:
    """Send one command or query and print the response or the error."""
    try:
        response = client.send(command)
    except RunkeelError as error:
        return _fail(f"{error.code}: {error.detail}", exit_code_for(error, is_query(command)))
    render(response, output_format)
    return ExitCode.OK


def exit_code_for(error: RunkeelError, query: bool = False) -> ExitCode:
    """Return the exit code for the error of a query or command."""
    if error.code in _USAGE_CODES:
        return ExitCode.USAGE
    if error.code is ErrorCode.PEER_UNREACHABLE:
        return ExitCode.UNREACHABLE
    if error.verdict is Verdict.NOT_RUN or query:
        return ExitCode.REFUSED
    return ExitCode.OUTCOME_UNKNOWN


def _usage_error(command: str | None, output_format: str, watch: float) -> str:
    if output_format not in FORMATS:
        return f"format must be one of {', '.join(FORMATS)}, not {output_format!r}"
    if command is not None and not command.strip():
        return "the command is empty"
    if watch < 0:
        return "watch must not be negative"
    if watch > 0 and (command is None or not is_query(command)):
        return "only a query can be watched"
    return ""


def _watch(client: OperatorClient, command: str, output_format: str, seconds: float) -> ExitCode:
    code = ExitCode.OK
    try:
        while code in (ExitCode.OK, ExitCode.UNREACHABLE):
            if sys.stdout.isatty():
                sys.stdout.write(_CLEAR_SCREEN)
            code = run_once(client, command, output_format)
            sys.stdout.flush()
            time.sleep(seconds)
    except (KeyboardInterrupt, BrokenPipeError):
        return ExitCode.OK
    return code


def _fail(message: str, code: ExitCode) -> ExitCode:
    print(message, file=sys.stderr)
    return code
