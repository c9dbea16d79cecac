"""Operators' commands on a node that serves a platform.

Objects in the platform's store are written by their owners: the configuration by the operator,
versions by trainers, and a server's state by the server. Commands that would change these objects
are refused with an error that names the owner. A node runs the commands that concern itself: its
own planned stop and the release of a quarantined request.
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
    "deploy": "only the model's trainer publishes versions, in the platform's store",
    "drain": "a server says itself, in the platform's store, that it drains",
    "undrain": "a server says itself, in the platform's store, whether it drains",
}
_CONFIGURATION_OWNER = "the configuration is the operator's own object in the platform's store"


@dataclass(frozen=True, slots=True)
class CommandOutcome:
    """Result of a command; its fields are those of the response body.

    Attributes:
        outcome: ``ACCEPTED`` or ``DRY_RUN``.
        changes: a sentence that describes the effect.
    """

    outcome: str
    command_id: str
    changes: str


class FleetCommands:
    """Runs operators' commands on one node.

    Args:
        node_id: id of this node.
        request_stop: begins the planned stop of this node.
        ledger: records of requests during which servers crashed.
    """

    def __init__(self, node_id: str, request_stop: Callable[[], None], ledger: CrashLedger) -> None:
        self._node_id = node_id
        self._request_stop = request_stop
        self._ledger = ledger

    def run(self, text: str, command_id: str) -> CommandOutcome:
        """Run a command, or only describe its effect if it ends with ``--dry-run``.

        Raises:
            RunkeelError: BAD_COMMAND for a text that is not a valid command, FORBIDDEN for a
                change that this node may not make, NOT_FOUND for a release of an unknown
                request. Nothing was changed.
        """
        change = parse_statement(text)
        if isinstance(change, ReleaseRequest):
            return self._release(change, command_id)
        if not isinstance(change, Change):
            raise bad_command(text, 0, "not a command")
        if change.verb == "stop":
            return self._stop_node(change, command_id)
        raise _forbidden_error(change)

    def _release(self, release: ReleaseRequest, command_id: str) -> CommandOutcome:
        """Release a request from quarantine; gossip tells the other nodes."""
        record = self._ledger.get(release.fingerprint)
        if record is None or not record.crashed_servers:
            raise not_run(
                ErrorCode.NOT_FOUND, f"no quarantine record of request {release.fingerprint}"
            )
        crashes = len(record.crashed_servers)
        changes = (
            f"a request during which {crashes} servers crashed "
            f"may be sent to {record.service} again"
        )
        logger.info(
            "operator command",
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
            detail = f"this node is {self._node_id}; send the command to {change.name} itself"
            raise not_run(ErrorCode.FORBIDDEN, detail)
        changes = (
            f"{self._node_id} hands over coordination, completes requests in flight, and exits"
        )
        logger.info(
            "operator command",
            code="operator_command",
            command=command_id,
            verb=change.verb,
            dry_run=change.dry_run,
        )
        if change.dry_run:
            return CommandOutcome(DRY_RUN, command_id, changes)
        self._request_stop()
        return CommandOutcome(ACCEPTED, command_id, changes)


def _forbidden_error(change: Change) -> RunkeelError:
    owner = _OWNERS.get(change.verb, _CONFIGURATION_OWNER)
    if change.kind is ObjectKind.DRAIN and change.verb == "drain":
        owner += "; a machine is drained through an object of the platform"
    return not_run(ErrorCode.FORBIDDEN, f"{change.verb} {change.name}: {owner}")
