"""Random histories of servers that lapse in outages and come back, told from copy to copy.

One node coordinates; the others ask the store or the coordinator, in any order. Each node knows by
itself whether there was an outage, and then keeps what lapsed until it gives it up. The oracle is
the store: what it has when all is quiet, every node has in the end, and nothing else.
"""

from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, rule

from runkeel.api.documents import Document, DocumentKind, DocumentPage, HistoryLostError
from runkeel.clock import steady_seconds
from runkeel.coordination.copy_comparison import DIFFERENCE_SECONDS, CopyComparison
from runkeel.coordination.document_feed import DocumentFeed, json
from runkeel.state.document_watcher import DocumentWatcher
from runkeel_lab.standins.document_store import MemoryDocumentStore

KIND = DocumentKind.BACKEND
FOLLOWERS = 1
NAMES = 2
FOREVER_SECONDS = 1e6

node_numbers = strategies.integers(0, FOLLOWERS)
name_numbers = strategies.integers(0, NAMES - 1)


class _NoNetwork:
    def on_call(self, message_type, request_class, handler):
        pass


class _Node:
    """A node's copy and feed; it tells only what has changed in its own eyes."""

    def __init__(self, store, now):
        self.returned_at = 0.0
        self.states = {}
        self.watcher = DocumentWatcher(
            store,
            KIND,
            self._changed,
            watch_seconds=lambda: 0.0,
            lapse_seconds=FOREVER_SECONDS,
            returned_at=lambda: self.returned_at,
        )
        self.watcher.fresh_at = steady_seconds()
        self.feed = DocumentFeed(_NoNetwork(), [self.watcher], lambda: 0.0, FOREVER_SECONDS)
        self.comparison = CopyComparison(now)

    def _changed(self, document, removed):
        before = self.states.pop(document.name, None)
        if not removed:
            self.states[document.name] = document.content
        if removed or before != document.content:
            self.feed.note(document, removed)

    @property
    def names(self):
        return set(self.watcher.documents)

    def ask_store(self):
        try:
            self.watcher._step()
        except HistoryLostError:
            self.watcher._list_due = True
            self.watcher._step()

    def give_up(self):
        """Let the time for which lapsed servers are kept be over."""
        self.watcher._lapsed._expire(self.watcher._lapsed._ends_at)
        self.returned_at = 0.0

    def follow(self, coordinator):
        asked_from = self.comparison.revision_to_ask_from(self.watcher)
        reply = coordinator.feed.read({str(KIND): asked_from}, 0.0)
        for page in reply.pages:
            documents = tuple(
                Document(KIND, one.name, one.revision, json.loads(one.content))
                for one in page.documents
            )
            removed = tuple(page.removed)
            self.watcher.take(DocumentPage(KIND, page.revision, page.whole, documents, removed))
        self.comparison.note(self.watcher, reply.copies[str(KIND)])


class LapseMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.clock = 0.0
        self.store = MemoryDocumentStore()
        self.nodes = [_Node(self.store, lambda: self.clock) for _ in range(FOLLOWERS + 1)]
        self.coordinator, *self.followers = self.nodes
        self.changes = 0
        for number in range(NAMES):
            self.come_back(number, False)
        for node in self.nodes:
            node.ask_store()

    @rule(number=name_numbers, changed=strategies.booleans())
    def come_back(self, number, changed):
        """A server writes its entry, mostly with the content that it had before."""
        self.changes += changed and number
        self.store.put(KIND, f"s{number}", f"changed {self.changes} times")

    @rule(number=name_numbers)
    def lapse(self, number):
        self.store.remove(KIND, f"s{number}")

    @rule()
    def forget_history(self):
        self.store.compact()

    @rule(number=node_numbers)
    def give_up(self, number):
        self.nodes[number].give_up()

    @rule(number=name_numbers, seen=strategies.lists(strategies.booleans(), min_size=2, max_size=2))
    def lapse_in_outage(self, number, seen):
        """A server lapses, and every node asks the store; some of them saw the outage."""
        self.lapse(number)
        for node, after_outage in zip(range(FOLLOWERS + 1), seen, strict=True):
            self.ask_store(node, after_outage)

    @rule(number=node_numbers, after_outage=strategies.booleans())
    def ask_store(self, number, after_outage):
        """A node asks the store; what lapsed is kept from now on if it saw an outage."""
        if after_outage:
            self.nodes[number].returned_at = steady_seconds()
        self.nodes[number].ask_store()

    @rule(number=strategies.integers(0, FOLLOWERS - 1))
    def follow(self, number):
        """What the store has, and the coordinator has seen there, is known after one page."""
        follower = self.followers[number]
        follower.follow(self.coordinator)
        if self.coordinator.watcher.revision == self.store.revision:
            missing = set(self.store.names(KIND)) - follower.names
            assert not missing, f"{missing} came back unheard of"

    def teardown(self):
        """All is quiet: what is kept is given up, and every node follows for a while."""
        self.coordinator.ask_store()
        for node in self.nodes:
            node.give_up()
        for follower in self.followers:
            for _ in range(3):
                follower.follow(self.coordinator)
                self.clock += DIFFERENCE_SECONDS
            assert follower.names == set(self.store.names(KIND)), "a copy stays different"
