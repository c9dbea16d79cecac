"""State machine: server documents that expire during store outages and are written again.

One node coordinates; the others read the store or the coordinator's feed, in any order. Each node
decides on its own whether there was an outage and, if so, keeps expired documents for a while. The
oracle is the store: once changes have stopped, every node must have exactly its documents.
"""

from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, rule

from runkeel.api.documents import Document, DocumentKind, DocumentPage, HistoryDiscardedError
from runkeel.clock import steady_seconds
from runkeel.coordination.copy_comparison import MAX_DIFFERENCE_SECONDS, CopyComparison
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
    """A node's copy and feed; the feed omits documents that are rewritten without a change."""

    def __init__(self, store, now):
        self.recovered_at = 0.0
        self.states = {}
        self.watcher = DocumentWatcher(
            store,
            KIND,
            self._changed,
            watch_seconds=lambda: 0.0,
            expiry_grace_seconds=FOREVER_SECONDS,
            recovered_at=lambda: self.recovered_at,
        )
        self.watcher.current_as_of = steady_seconds()
        self.feed = DocumentFeed(_NoNetwork(), [self.watcher], lambda: 0.0, FOREVER_SECONDS)
        self.comparison = CopyComparison(now)

    def _changed(self, document, removed):
        before = self.states.pop(document.name, None)
        if not removed:
            self.states[document.name] = document.content
        if removed or before != document.content:
            self.feed.record_change(document, removed)

    @property
    def names(self):
        return set(self.watcher.documents)

    def read_store(self):
        try:
            self.watcher._step()
        except HistoryDiscardedError:
            self.watcher._list_due = True
            self.watcher._step()

    def drop_expired(self):
        """Drop the expired servers that are still kept."""
        self.watcher._expired_documents._expire(self.watcher._expired_documents._ends_at)
        self.recovered_at = 0.0

    def follow(self, coordinator):
        revision = self.comparison.revision_to_read_from(self.watcher)
        reply = coordinator.feed.read({str(KIND): revision}, 0.0)
        for page in reply.pages:
            documents = tuple(
                Document(KIND, one.name, one.revision, json.loads(one.content))
                for one in page.documents
            )
            removed = tuple(page.removed)
            self.watcher.merge_page(
                DocumentPage(KIND, page.revision, page.whole, documents, removed)
            )
        self.comparison.compare(self.watcher, reply.copies[str(KIND)])


class ExpiryMachine(RuleBasedStateMachine):
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
            node.read_store()

    @rule(number=name_numbers, changed=strategies.booleans())
    def come_back(self, number, changed):
        """Write a server's document, mostly with the content that it had before."""
        self.changes += changed and number
        self.store.put(KIND, f"s{number}", f"changed {self.changes} times")

    @rule(number=name_numbers)
    def expire(self, number):
        self.store.remove(KIND, f"s{number}")

    @rule()
    def forget_history(self):
        self.store.compact()

    @rule(number=node_numbers)
    def drop_expired(self, number):
        self.nodes[number].drop_expired()

    @rule(number=name_numbers, seen=strategies.lists(strategies.booleans(), min_size=2, max_size=2))
    def expire_in_outage(self, number, seen):
        """Let a server expire and every node read the store; some nodes have seen the outage."""
        self.expire(number)
        for node, after_outage in zip(range(FOLLOWERS + 1), seen, strict=True):
            self.read_store(node, after_outage)

    @rule(number=node_numbers, after_outage=strategies.booleans())
    def read_store(self, number, after_outage):
        """Have a node read the store; it keeps expired servers if it has seen an outage."""
        if after_outage:
            self.nodes[number].recovered_at = steady_seconds()
        self.nodes[number].read_store()

    @rule(number=strategies.integers(0, FOLLOWERS - 1))
    def follow(self, number):
        """Have a follower read the feed; it must then lack nothing that is in the store.

        This is checked only if the coordinator's copy is current.
        """
        follower = self.followers[number]
        follower.follow(self.coordinator)
        if self.coordinator.watcher.revision == self.store.revision:
            missing = set(self.store.names(KIND)) - follower.names
            assert not missing, f"{missing} came back unnoticed"

    def teardown(self):
        """Let every node drop the servers that it kept and follow for a while, without changes."""
        self.coordinator.read_store()
        for node in self.nodes:
            node.drop_expired()
        for follower in self.followers:
            for _ in range(3):
                follower.follow(self.coordinator)
                self.clock += MAX_DIFFERENCE_SECONDS
            assert follower.names == set(self.store.names(KIND)), "a copy stays different"
