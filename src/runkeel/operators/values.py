"""Conversion of values with units to the types of configuration fields."""

from __future__ import annotations

import re
import types
import typing
from enum import Enum

from runkeel.api.configuration import SPEC_CLASSES, ObjectKind
from runkeel.operators.diagnostics import bad_command
from runkeel.operators.statements import Scalar, Word

_NUMBER = re.compile(r"([+-]?\d+(?:\.\d+)?)([a-z%]*)", re.IGNORECASE)
_MILLISECONDS_PER_UNIT = {"ms": 1, "s": 1_000, "m": 60_000, "min": 60_000, "h": 3_600_000}
_FIELD_SUFFIXES = ("", "_ms", "_seconds")
_FIELD_PREFIXES = ("", "default_", "max_", "target_")
ENGINE_ROLES = ("mixed", "serve", "rollout")
ROLE_READ = "read"
ROLE_OPERATE = "operate"
OPERATOR_ROLES = (ROLE_READ, ROLE_OPERATE)
_FIELD_CHOICES = {
    (ObjectKind.ENGINE_ROLE, "role"): ENGINE_ROLES,
    (ObjectKind.OPERATOR, "role"): OPERATOR_ROLES,
}
_BOOLEANS = {"true": True, "yes": True, "on": True, "false": False, "no": False, "off": False}


def field_names(kind: ObjectKind) -> tuple[str, ...]:
    """Return the names of a kind's fields."""
    return tuple(SPEC_CLASSES[kind].model_fields)


def resolve_field(text: str, kind: ObjectKind, word: Word) -> str:
    """Return the field that a word names.

    Prefixes and unit suffixes may be left out: ``deadline`` is ``default_deadline_ms``.

    Raises:
        RunkeelError: BAD_COMMAND.
    """
    known = field_names(kind)
    for prefix in _FIELD_PREFIXES:
        for suffix in _FIELD_SUFFIXES:
            candidate = prefix + word.text + suffix
            if candidate in known:
                return candidate
    raise bad_command(text, word.position, f"{kind} has no field {word.text!r}", word.text, known)


def convert_value(text: str, kind: ObjectKind, field_name: str, word: Word) -> Scalar:
    """Convert a word to the type of a field.

    Raises:
        RunkeelError: BAD_COMMAND.
    """
    annotation = SPEC_CLASSES[kind].model_fields[field_name].annotation
    if annotation is bool:
        return _parse_boolean(text, word)
    if annotation in (int, float):
        return _parse_number(text, field_name, annotation, word)
    choices = _FIELD_CHOICES.get((kind, field_name), ())
    if isinstance(annotation, type) and issubclass(annotation, Enum):
        choices = tuple(str(member.value) for member in annotation)
    if choices:
        check_choice(text, field_name, word, choices)
    if isinstance(annotation, types.GenericAlias) or typing.get_origin(annotation) is tuple:
        raise bad_command(text, word.position, f"{field_name} is a list that the system manages")
    return word.text


def check_choice(text: str, label: str, word: Word, choices: tuple[str, ...]) -> None:
    """Check that a word is one of the choices.

    Raises:
        RunkeelError: BAD_COMMAND.
    """
    if word.text not in choices:
        problem = f"unknown {label} {word.text!r}"
        raise bad_command(text, word.position, problem, word.text, choices)


def parse_whole_number(text: str, word: Word, label: str) -> int:
    """Parse a whole number, 0 or more.

    Raises:
        RunkeelError: BAD_COMMAND.
    """
    if not (word.text.isascii() and word.text.isdigit()):
        raise bad_command(text, word.position, f"{label} must be a whole number, not {word.text!r}")
    return int(word.text)


def parse_scalar(word: str) -> Scalar:
    """Parse a word of a condition as a number, boolean or text.

    Durations become milliseconds and percentages become fractions.
    """
    match = _NUMBER.fullmatch(word)
    if match is None:
        return _BOOLEANS.get(word.lower(), word) if word.lower() in ("true", "false") else word
    number_text, unit = match.groups()
    number = float(number_text) if "." in number_text else int(number_text)
    if not unit:
        return number
    if unit == "%":
        return number / 100
    return number * _MILLISECONDS_PER_UNIT[unit] if unit in _MILLISECONDS_PER_UNIT else word


def _parse_boolean(text: str, word: Word) -> bool:
    value = _BOOLEANS.get(word.text.lower())
    if value is None:
        raise bad_command(
            text, word.position, f"{word.text!r} is neither true nor false", word.text, _BOOLEANS
        )
    return value


def _parse_number(text: str, field_name: str, number_type: type, word: Word) -> int | float:
    match = _NUMBER.fullmatch(word.text)
    if match is None:
        raise bad_command(text, word.position, f"{field_name} must be a number, not {word.text!r}")
    number = float(match[1]) * _unit_factor(text, field_name, match[2].lower(), word)
    if number_type is float:
        return number
    if not number.is_integer():
        raise bad_command(text, word.position, f"{field_name} must be a whole number")
    return int(number)


def _unit_factor(text: str, field_name: str, unit: str, word: Word) -> float:
    if not unit:
        return 1.0
    if unit == "%" and _is_fraction(field_name):
        return 0.01
    if unit in _MILLISECONDS_PER_UNIT and field_name.endswith("_ms"):
        return float(_MILLISECONDS_PER_UNIT[unit])
    if unit in _MILLISECONDS_PER_UNIT and field_name.endswith("_seconds"):
        return _MILLISECONDS_PER_UNIT[unit] / 1_000
    allowed = _allowed_units(field_name)
    problem = f"{field_name} takes no unit {unit!r} ({allowed})"
    raise bad_command(text, word.position, problem, word.text)


def _is_fraction(field_name: str) -> bool:
    return field_name.endswith(("_fraction", "_share", "_quantile", "_budget"))


def _allowed_units(field_name: str) -> str:
    if field_name.endswith(("_ms", "_seconds")):
        return f"units: {', '.join(_MILLISECONDS_PER_UNIT)}"
    return "unit: %" if _is_fraction(field_name) else "expected a number without a unit"
