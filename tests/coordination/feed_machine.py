"""State machine: random histories of documents that nodes get from the store and each other.

Answers of the store and pages of other nodes arrive late and in any order. The oracle records every
change. It checks that a copy never goes back, that removed documents stay removed, and that a copy
contains all significant changes up to its revision.

A document's state only advances and names are not reused, as with servers.
"""

from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from runkeel.api.documents import (
    Document,
    DocumentKind,
    DocumentPage,
    HistoryDiscardedError,
)
from runkeel.clock import steady_seconds
from runkeel.coordination import document_feed
from runkeel.coordination.document_feed import DocumentFeed
from runkeel.state.document_watcher import DocumentWatcher
from runkeel_lab.standins.document_store import MemoryDocumentStore

KIND = DocumentKind.BACKEND
NODES = 3
NAMES = 4
FOREVER_SECONDS = 1e9

node_numbers = strategies.integers(0, NODES - 1)
name_numbers = strategies.integers(0, NAMES - 1)


class _NoNetwork:
    def on_call(self, message_type, request_class, handler):
        pass


class _Node:
    """A node's copy and feed; the machine delivers all answers and pages."""

    def __init__(self, store):
        self.watcher = DocumentWatcher(store, KIND, self._changed)
        self.watcher.current_as_of = steady_seconds()
        self.feed = DocumentFeed(_NoNetwork(), [self.watcher], lambda: 0.0, FOREVER_SECONDS)
        self.states = {}
        self.highest = {}
        self.removed_names = set()

    def _changed(self, document, removed):
        name = document.name
        if removed:
            self.removed_names.add(name)
            self.feed.record_change(document, removed)
            return
        assert name not in self.removed_names, f"{name} came back"
        assert document.revision >= self.highest.get(name, 0), f"{name} went back"
        self.highest[name] = document.revision
        state = document.content["state"]
        if self.states.get(name) != state:
            self.states[name] = state
            self.feed.record_change(document, removed)


class FeedMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.store = MemoryDocumentStore()
        self.nodes = [_Node(self.store) for _ in range(NODES)]
        self.history = []
        self.names = [f"s{number}" for number in range(NAMES)]
        self.created = NAMES
        self.states = {}
        self.late = []

    @rule(number=name_numbers, moves=strategies.booleans())
    def change(self, number, moves):
        """Write a server's document; either its state advances or it is only a heartbeat."""
        name = self.names[number]
        if moves or name not in self.states:
            self.states[name] = self.states.get(name, 0) + 1
        content = {"state": self.states[name]}
        document = self.store.put(KIND, name, content)
        self.history.append((document.revision, name, self.states[name]))

    @rule(number=name_numbers)
    def remove(self, number):
        name = self.names[number]
        if name in self.states:
            self.store.remove(KIND, name)
            self.history.append((self.store.revision, name, None))
        self.names[number] = f"s{self.created}"
        self.created += 1

    @rule()
    def forget_history(self):
        self.store.compact()

    @rule(number=node_numbers, late=strategies.booleans())
    def read_store(self, number, late):
        """Answer a node's watch, now or later; a lost history makes it list."""
        watcher = self.nodes[number].watcher
        try:
            changes = self.store.watch(KIND, watcher.revision, 0.0)
        except HistoryDiscardedError:
            watcher._list_due = True
            watcher._step()
            return
        self._deliver(late, lambda: watcher._take_changes(changes))

    @rule(number=node_numbers, other=node_numbers, late=strategies.booleans())
    def follow(self, number, other, late):
        """Send a node the changes that it lacks from another node, now or later."""
        watcher = self.nodes[number].watcher
        if number == other or not self.nodes[other].watcher.revision:
            return
        reply = self.nodes[other].feed.read({str(KIND): watcher.revision}, 0.0)
        pages = [_page(page) for page in reply.pages]
        self._deliver(late, lambda: [watcher.merge_page(page) for page in pages])

    def _deliver(self, late, delivery):
        if late:
            self.late.append(delivery)
        else:
            delivery()

    @precondition(lambda self: self.late)
    @rule(number=strategies.integers(0, 20), again=strategies.booleans())
    def deliver_late(self, number, again):
        """Deliver a delayed answer or page; some are delivered once more later."""
        position = number % len(self.late)
        self.late[position]()
        if not again:
            self.late.pop(position)

    @invariant()
    def copies_hold_what_their_revision_claims(self):
        for node in self.nodes:
            known = {}
            for revision, name, state in self.history:
                if revision <= node.watcher.revision:
                    known[name] = state
            for name, state in known.items():
                held = node.watcher.documents.get(name)
                if state is None:
                    assert held is None, f"{name} was removed"
                elif name not in node.removed_names:
                    assert held is not None, f"{name} is missing"
                    assert held.content["state"] >= state, f"{name} is old"


def _page(page):
    documents = tuple(
        Document(KIND, one.name, one.revision, document_feed.json.loads(one.content))
        for one in page.documents
    )
    return DocumentPage(KIND, page.revision, page.whole, documents, tuple(page.removed))
