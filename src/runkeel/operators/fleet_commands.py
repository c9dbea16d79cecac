"""Operators' commands at a node that serves a platform.

What the platform's store holds belongs to those who write it there: the configuration to the
operator, versions to trainers, a server's state to the server. A command that would write it is
refused, and the refusal says who may. What a node can do itself, stopping as planned, it does.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from runkeel.api.configuration import ObjectKind
from runkeel.errors import ErrorCode, RunkeelError, not_run
from runkeel.operators.diagnostics import bad_command
from runkeel.operators.language import parse_statement
from runkeel.operators.statements import Change, ReleaseRequest
from runkeel.quarantine.crash_ledger import CrashLedger

ACCEPTED = "accepted"
DRY_RUN = "would be accepted"

_OWNERS = {
    "deploy": "a version is named by its model's trainer, in the platform's store",
    "drain": "a server says itself, in the platform's store, that it drains",
    "undrain": "a server says itself, in the platform's store, whether it drains",
}
_CONFIGURATION = "the configuration is one object of the operator's in the platform's store"


@dataclass(frozen=True, slots=True)
class CommandOutcome:
    """What became of a command.

    Attributes:
        changes: what it does, as a sentence.
    """

    outcome: str
    command_id: str
    changes: str


class FleetCommands:
    """Takes the commands of one node's operators.

    Args:
        node_id: this node.
        stop: begins this node's planned stop.
        ledger: the requests under which servers ended.
    """

    def __init__(self, node_id: str, stop: Callable[[], None], ledger: CrashLedger) -> None:
        self._node_id = node_id
        self._stop = stop
        self._ledger = ledger

    def run(self, text: str, command_id: str) -> CommandOutcome:
        """Carry a command out, or say what it would do if it ends with ``dry run``.

        Raises:
            RunkeelError: BAD_COMMAND for a text that is not understood, FORBIDDEN for what
                somebody else has to write. Nothing was changed.
        """
        change = parse_statement(text)
        if isinstance(change, ReleaseRequest):
            return self._release(change, command_id)
        if not isinstance(change, Change):
            raise bad_command(text, 0, "not a command")
        if change.verb == "stop":
            return self._stop_node(change, command_id)
        raise _refusal(change)

    def _release(self, release: ReleaseRequest, command_id: str) -> CommandOutcome:
        """Let a request go; the other nodes hear of it as of any other clearance."""
        record = self._ledger.get(release.fingerprint)
        if record is None or not record.ended:
            raise not_run(ErrorCode.NOT_FOUND, f"no such request: {release.fingerprint}")
        ended = len(record.ended)
        changes = f"what {ended} servers ended under may be sent to {record.service} again"
        logger.info(
            "command",
            code="operator_command",
            command=command_id,
            verb="release",
            fingerprint=release.fingerprint,
            dry_run=release.dry_run,
        )
        if release.dry_run:
            return CommandOutcome(DRY_RUN, command_id, changes)
        self._ledger.clear(release.fingerprint)
        return CommandOutcome(ACCEPTED, command_id, changes)

    def _stop_node(self, change: Change, command_id: str) -> CommandOutcome:
        if change.name != self._node_id:
            detail = f"this is {self._node_id}; {change.name} is asked itself"
            raise not_run(ErrorCode.FORBIDDEN, detail)
        changes = f"{self._node_id} hands over, answers what is in flight, and ends"
        logger.info(
            "command",
            code="operator_command",
            command=command_id,
            verb=change.verb,
            dry_run=change.dry_run,
        )
        if change.dry_run:
            return CommandOutcome(DRY_RUN, command_id, changes)
        self._stop()
        return CommandOutcome(ACCEPTED, command_id, changes)


def _refusal(change: Change) -> RunkeelError:
    owner = _OWNERS.get(change.verb, _CONFIGURATION)
    if change.kind is ObjectKind.DRAIN and change.verb == "drain":
        owner += "; a machine is emptied by an object of the platform"
    return not_run(ErrorCode.FORBIDDEN, f"{change.verb} {change.name}: {owner}")
