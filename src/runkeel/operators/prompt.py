"""Interactive prompt with a history file and completion from the grammar."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

from prompt_toolkit import PromptSession
from prompt_toolkit.completion import CompleteEvent, Completer, Completion
from prompt_toolkit.document import Document
from prompt_toolkit.history import FileHistory, History, InMemoryHistory

from runkeel.errors import RunkeelError
from runkeel.operators.client import OperatorClient
from runkeel.operators.language import CHANGEABLE_KINDS, accepts_word, expected_keywords
from runkeel.operators.sources import RESOURCES
from runkeel.operators.values import field_names

HISTORY_FILE = Path("~/.runkeel_history")
_EXIT_COMMANDS = ("exit", "quit")
_KIND_VERBS = ("set", "create", "delete")


class CommandCompleter(Completer):
    """Completes keywords, resources, columns, kinds and fields.

    Args:
        resources: names of the node's tables, with the columns of each.
    """

    def __init__(self, resources: dict[str, list[str]]) -> None:
        self._resources = resources

    def get_completions(
        self, document: Document, complete_event: CompleteEvent
    ) -> Iterable[Completion]:
        """Yield completions of the word before the cursor."""
        text = document.text_before_cursor
        prefix = "" if not text or text[-1] in " ,=<>" else text.split()[-1]
        preceding = text[: len(text) - len(prefix)]
        for word in sorted({*expected_keywords(preceding), *self._name_completions(preceding)}):
            if word.startswith(prefix):
                yield Completion(word, start_position=-len(prefix))

    def _name_completions(self, preceding: str) -> Iterator[str]:
        """Yield the names that are valid where the grammar accepts an arbitrary word."""
        words = preceding.split()
        if not words or not accepts_word(preceding):
            return
        if words == ["show"]:
            yield from self._resources
        elif words[0] == "show" and words[-1] in ("where", "and", "by"):
            yield from self._resources.get(words[1], ())
        elif words[0] in _KIND_VERBS and len(words) == 1:
            yield from CHANGEABLE_KINDS
        elif words[0] in _KIND_VERBS and words[1] in CHANGEABLE_KINDS and len(words) >= 3:
            yield from field_names(CHANGEABLE_KINDS[words[1]])


def run_prompt(client: OperatorClient, run_line: Callable[[str], int]) -> int:
    """Read and run lines until the end of input or ``exit``; return the last exit code.

    Args:
        run_line: runs one line and returns its exit code.
    """
    session = PromptSession(
        history=_history(), completer=CommandCompleter(_fetch_resources(client))
    )
    code = 0
    while True:
        try:
            line = session.prompt("runkeel> ").strip()
        except KeyboardInterrupt:
            continue
        except EOFError:
            return code
        if line in _EXIT_COMMANDS:
            return code
        if line:
            code = run_line(line)


def _fetch_resources(client: OperatorClient) -> dict[str, list[str]]:
    try:
        document = client.send(f"show {RESOURCES}").document
    except RunkeelError:
        return {}
    return {row[0]: row[1].split(", ") for row in document.get("rows", ())}


def _history() -> History:
    path = HISTORY_FILE.expanduser()
    try:
        path.touch(mode=0o600)
    except OSError:
        return InMemoryHistory()
    return FileHistory(str(path))
