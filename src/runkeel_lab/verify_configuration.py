"""Checks that accepted configuration comes into force everywhere in time and never reverts."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from runkeel_lab.configuration_monitor import ConfigurationView, ObjectName
from runkeel_lab.journals import Journals
from runkeel_lab.violations import Violation, ViolationKind

IN_FORCE_BOUND_SECONDS = 9.0
"""An accepted change is in force everywhere within this time."""
JOIN_SECONDS = 3.0
"""A node that just started may lack objects for so long."""


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """A write that the store took; ``at`` is monotonic, in s.

    Attributes:
        deleted: the write deleted the object, so that nodes no longer show it.
    """

    at: float
    target: ObjectName
    generation: int
    deleted: bool = False


@dataclass(slots=True)
class ConfigurationFindings:
    """Violations, and the longest time in s from accepted to in force on the last node."""

    in_force_s: float | None = None
    violations: list[Violation] = field(default_factory=list)


def accepted_changes(journals: Journals, since: float) -> list[AcceptedChange]:
    """Return the changes that the object API stored after a time."""
    changes = []
    for event in journals.of("object-api", "stored"):
        content = event.fields.get("content")
        if event.at >= since and content:
            target = (event.fields["object_kind"], event.fields["name"])
            deleted = bool(content.get("deleted"))
            changes.append(AcceptedChange(event.at, target, content["generation"], deleted))
    return changes


def verify_configuration(
    views: Mapping[str, Sequence[ConfigurationView]], changes: Sequence[AcceptedChange]
) -> ConfigurationFindings:
    """Check the views of all nodes against the changes."""
    findings = ConfigurationFindings()
    for node_id, node_views in views.items():
        _check_reversions(node_id, node_views, changes, findings)
        for change in changes:
            _check_in_force(node_id, node_views, change, findings)
    return findings


def _check_reversions(
    node_id: str,
    views: Sequence[ConfigurationView],
    changes: Sequence[AcceptedChange],
    findings: ConfigurationFindings,
) -> None:
    """Find objects that a node holds at a lower generation than before, or without a deletion."""
    highest: dict[ObjectName, int] = {}
    life, life_began = 0, 0.0
    for view in views:
        if view.life != life:
            life, life_began = view.life, view.at
        joining = life > 1 and view.at - life_began < JOIN_SECONDS
        for target, generation in list(highest.items()):
            held = view.generations.get(target)
            if held is None:
                deletion = _deletion(changes, target, generation, view.at)
                highest[target] = max(generation, deletion or 0)
                if deletion is not None or joining:
                    continue
            if (held or 0) < generation:
                detail = f"{node_id}: generation {generation}, later {held or 'none'}"
                subject = "/".join(target)
                findings.violations.append(
                    Violation(ViolationKind.CONFIGURATION_REVERTED, subject, detail)
                )
                del highest[target]
        for target, generation in view.generations.items():
            highest[target] = max(generation, highest.get(target, 0))


def _deletion(
    changes: Sequence[AcceptedChange], target: ObjectName, generation: int, before: float
) -> int | None:
    """Return the generation of the latest deletion at or above ``generation``, or None."""
    found = [
        change.generation
        for change in changes
        if change.target == target
        and change.deleted
        and change.generation >= generation
        and change.at <= before
    ]
    return max(found, default=None)


def _check_in_force(
    node_id: str,
    views: Sequence[ConfigurationView],
    change: AcceptedChange,
    findings: ConfigurationFindings,
) -> None:
    """Measure one change on one node, from when the node could be reached."""
    since = change.at
    for view in views:
        if view.at < change.at:
            continue
        if view.fresh:
            since = max(since, view.at)
        held = view.generations.get(change.target)
        gone = change.deleted and held is None
        if gone or (held or 0) >= change.generation:
            findings.in_force_s = max(findings.in_force_s or 0.0, view.at - since)
            if view.at - since > IN_FORCE_BOUND_SECONDS:
                _add_late(node_id, change, f"after {view.at - since:.1f} s", findings)
            return
    if views and views[-1].at - since > IN_FORCE_BOUND_SECONDS:
        _add_late(node_id, change, "never seen", findings)


def _add_late(
    node_id: str, change: AcceptedChange, text: str, findings: ConfigurationFindings
) -> None:
    subject = "/".join(change.target)
    detail = f"{node_id}: generation {change.generation} {text}"
    findings.violations.append(Violation(ViolationKind.CONFIGURATION_LATE, subject, detail))
