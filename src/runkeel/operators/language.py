"""Parser of the operator command language (show, set, create, drain, ...).

It turns a text into a typed statement. Columns in errors and statements are offsets into the whole
text, which may have several lines.
"""

from __future__ import annotations

import functools
import json

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedToken

from runkeel.api.configuration import ObjectKind
from runkeel.errors import RunkeelError
from runkeel.operators.diagnostics import bad_command
from runkeel.operators.grammar import OPERATORS_GRAMMAR
from runkeel.operators.statements import (
    Change,
    ChangeMode,
    Comparison,
    Condition,
    ReleaseRequest,
    Scalar,
    ShowCommand,
    ShowQuery,
    Statement,
    Word,
)
from runkeel.operators.values import (
    ENGINE_ROLES,
    check_choice,
    convert_value,
    parse_whole_number,
    resolve_field,
)

MAX_STATEMENT_LENGTH = 4_000
"""Maximum length of a statement, in characters."""

CHANGEABLE_KINDS = {str(kind): kind for kind in ObjectKind if kind is not ObjectKind.RECORD_GROUP}
"""Kinds that operators may change; record groups are managed by the system."""

_TERMINAL_KEYWORDS = {
    "WORD": (),
    "STRING": (),
    "COMPARISON": tuple(str(comparison) for comparison in Comparison),
    "TARGET": ("backend", "node"),
    "DIRECTION": ("asc", "desc"),
    "COMMA": (",",),
}
"""Words to suggest for each terminal of the grammar that is not a single keyword."""


@functools.cache
def _parser() -> Lark:
    return Lark(OPERATORS_GRAMMAR, parser="lalr", propagate_positions=True, maybe_placeholders=True)


def parse_statement(text: str) -> Statement:
    """Parse one query or command.

    Raises:
        RunkeelError: BAD_COMMAND, with the column and the closest valid word.
    """
    if len(text) > MAX_STATEMENT_LENGTH:
        raise bad_command("", 0, f"the statement is longer than {MAX_STATEMENT_LENGTH} characters")
    try:
        tree = _parser().parse(text)
    except UnexpectedToken as error:
        raise _unexpected_token_error(text, error.token, error.accepts or error.expected) from error
    except UnexpectedCharacters as error:
        position = error.pos_in_stream
        word = text[position:].split(maxsplit=1)[0] if text[position:].strip() else ""
        raise bad_command(text, position, f"unexpected {word!r}") from error
    except UnexpectedEOF as error:
        raise bad_command(text, len(text), "unexpected end") from error
    return _StatementBuilder(text).build(tree.children[0])


def expected_keywords(text: str) -> tuple[str, ...]:
    """Return the keywords that may follow a text, sorted; used for prompt completion."""
    interactive = _parser().parse_interactive(text)
    try:
        interactive.exhaust_lexer()
    except (UnexpectedToken, UnexpectedCharacters):
        return ()
    return tuple(sorted(_keywords_of(interactive.accepts())))


def accepts_word(text: str) -> bool:
    """Return whether an arbitrary word (a name, field or value) may follow a text.

    Used for prompt completion.
    """
    interactive = _parser().parse_interactive(text)
    try:
        interactive.exhaust_lexer()
    except (UnexpectedToken, UnexpectedCharacters):
        return False
    return "WORD" in interactive.accepts()


def _keywords_of(terminals: set[str]) -> set[str]:
    words: set[str] = set()
    for name in terminals:
        if name in _TERMINAL_KEYWORDS:
            words.update(_TERMINAL_KEYWORDS[name])
        elif name != "$END":
            words.add(_parser().get_terminal(name).pattern.value)
    return words


def _unexpected_token_error(text: str, token: Token, expected: set[str]) -> RunkeelError:
    words = _keywords_of(set(expected))
    if token.type == "$END":
        expectation = "" if words else "; expected a name or value"
        return bad_command(text, len(text), f"the command is not complete{expectation}", "", words)
    return bad_command(text, token.start_pos, f"unexpected {str(token)!r}", str(token), words)


class _StatementBuilder:
    """Builds a statement from a parse tree.

    The methods that ``build`` calls are named after the rules of the grammar.
    """

    def __init__(self, text: str) -> None:
        self._text = text

    def build(self, tree: Tree) -> Statement:
        return getattr(self, f"_{tree.data}")(tree.children)

    def _show(self, children: list) -> ShowQuery:
        resource, where, order, limit = children
        conditions = tuple(self._condition(tree) for tree in where.children) if where else ()
        order_by, direction = order.children if order else (None, None)
        return ShowQuery(
            resource=_word(resource),
            conditions=conditions,
            order_by=_word(order_by) if order_by else None,
            descending=direction == "desc",
            limit=self._limit(limit),
        )

    def _limit(self, tree: Tree | None) -> int | None:
        return parse_whole_number(self._text, _word(tree.children[0]), "limit") if tree else None

    def _condition(self, tree: Tree) -> Condition:
        field, comparison, value = tree.children
        return Condition(_word(field), Comparison(comparison), _value(value))

    def _show_rollout(self, children: list) -> ShowQuery:
        model = _value(children[0])
        condition = Condition(Word("model", model.position), Comparison.EQUAL, model)
        return ShowQuery(Word("rollouts", 0), (condition,))

    def _show_command(self, children: list) -> ShowCommand:
        return ShowCommand(_value(children[0]).text)

    def _deploy(self, children: list) -> Change:
        name, version, adapter, *suffixes = children
        number = parse_whole_number(self._text, _word(version), "version")
        fields = (
            ("target_version", number),
            ("adapter", _value(adapter).text if adapter else ""),
        )
        return self._change("deploy", ObjectKind.MODEL, name, ChangeMode.UPDATE, fields, suffixes)

    def _drain(self, children: list) -> Change:
        _, name, reason, *suffixes = children
        fields = (("reason", _value(reason).text if reason else ""), ("stop", False))
        return self._change("drain", ObjectKind.DRAIN, name, ChangeMode.REPLACE, fields, suffixes)

    def _undrain(self, children: list) -> Change:
        _, name, *suffixes = children
        return self._change("undrain", ObjectKind.DRAIN, name, ChangeMode.DELETE, (), suffixes)

    def _stop(self, children: list) -> Change:
        name, *suffixes = children
        fields = (("reason", "stopped by an operator"), ("stop", True))
        return self._change("stop", ObjectKind.DRAIN, name, ChangeMode.REPLACE, fields, suffixes)

    def _set_engine_role(self, children: list) -> Change:
        name, role, *suffixes = children
        check_choice(self._text, "role", _word(role), ENGINE_ROLES)
        fields = (("role", str(role)),)
        return self._change(
            "set", ObjectKind.ENGINE_ROLE, name, ChangeMode.UPSERT, fields, suffixes
        )

    def _set_object(self, children: list) -> Change:
        return self._object_change("set", ChangeMode.UPDATE, children)

    def _create(self, children: list) -> Change:
        return self._object_change("create", ChangeMode.CREATE, children)

    def _delete(self, children: list) -> Change:
        return self._object_change("delete", ChangeMode.DELETE, children)

    def _release(self, children: list) -> ReleaseRequest:
        name, dry_run = children
        return ReleaseRequest(_value(name).text, dry_run is not None)

    def _object_change(self, verb: str, mode: ChangeMode, children: list) -> Change:
        kind_token, name, *rest = children
        kind = self._kind(_word(kind_token))
        assignments = [tree for tree in rest if tree is not None and tree.data == "assignment"]
        suffixes = [tree for tree in rest if tree is not None and tree.data == "suffix"]
        fields = tuple(self._assignment(kind, tree) for tree in assignments)
        return self._change(verb, kind, name, mode, fields, suffixes)

    def _kind(self, word: Word) -> ObjectKind:
        kind = CHANGEABLE_KINDS.get(word.text)
        if kind is None:
            problem = f"unknown kind {word.text!r}"
            raise bad_command(self._text, word.position, problem, word.text, CHANGEABLE_KINDS)
        return kind

    def _assignment(self, kind: ObjectKind, tree: Tree) -> tuple[str, Scalar]:
        field_tree, value_tree = tree.children
        field_name = resolve_field(self._text, kind, _word(field_tree.children[0]))
        return field_name, convert_value(self._text, kind, field_name, _value(value_tree))

    def _change(
        self,
        verb: str,
        kind: ObjectKind,
        name: Tree,
        mode: ChangeMode,
        fields: tuple[tuple[str, Scalar], ...],
        suffixes: list[Tree],
    ) -> Change:
        expected_generation = None
        dry_run = False
        for suffix in suffixes:
            option = suffix.children[0]
            if option.data == "dry_run":
                dry_run = True
            else:
                word = _word(option.children[0])
                expected_generation = parse_whole_number(self._text, word, "generation")
        return Change(verb, kind, _value(name).text, mode, fields, expected_generation, dry_run)


def _word(token: Token) -> Word:
    return Word(str(token), token.start_pos)


def _value(tree: Tree) -> Word:
    token = tree.children[0]
    if token.type == "STRING":
        return Word(_unquote(str(token)), token.start_pos)
    return _word(token)


def _unquote(quoted: str) -> str:
    try:
        return json.loads(quoted)
    except ValueError:
        return quoted[1:-1]
