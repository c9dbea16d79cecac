"""State machine of nodes that count usage, successive coordinators, a store and a platform.

Nodes crash, updates are repeated and reach any coordinator, writes fail or lose their responses,
and replaced coordinators report late. The oracle knows every request. It checks that no window is
reported with two different counts, that only requests that ran are reported, and that counts once
persisted in the store are part of the decision.
"""

from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from runkeel.api.documents import DocumentKind
from runkeel.api.usage import UsageSettings
from runkeel.errors import ErrorCode, may_have_run
from runkeel.usage.ledger import UsageLedger
from runkeel.usage.meter import UsageMeter
from runkeel.usage.usage_aggregator import UsageAggregator
from runkeel.wire.generated.jobs.ttypes import UsageCounts, UsageWindow
from runkeel_lab.standins.document_store import MemoryDocumentStore, StoreFault

SHARD = "fleet"
SETTINGS = UsageSettings(5.0, 10.0)
NODES = 3
TENANTS = ("a", "b")

node_numbers = strategies.integers(0, NODES - 1)
terms = strategies.integers(0, 2)
"""Number of terms since a coordinator was elected."""

faults = strategies.sampled_from([None, None, StoreFault.DOWN, StoreFault.RESPONSE_LOST])


class _Lease:
    """A lease that allows everybody to send at any time, the worst case."""

    def __init__(self, token):
        self.token = token

    def confirm(self):
        pass

    def check(self):
        pass

    def seconds_until_orders(self):
        return 0.0


class _Platform:
    def __init__(self):
        self.reported = {}
        self.response_lost = False

    def report_usage(self, report, holder, timeout_seconds, before_send):
        before_send()
        counts = dict(report.counts)
        recorded = self.reported.setdefault(report.window, counts)
        assert recorded == counts, f"window {report.window}: {counts} after {recorded}"
        if self.response_lost:
            raise may_have_run(ErrorCode.BACKEND_LOST, "no answer")


class UsageMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 1_000.0
        self.store = MemoryDocumentStore()
        self.platform = _Platform()
        self.sources = 0
        self.nodes = [self._new_node() for _ in range(NODES)]
        self.aggregators = []
        self.actual_counts = {}
        self.persisted_counts = {}
        """Counts that have been in the store, by window, source and tenant."""

    def _new_node(self):
        self.sources += 1
        return f"n{self.sources}", UsageMeter(SETTINGS.window_seconds, lambda: self.now)

    @initialize()
    def begin(self):
        self.elect()

    @rule()
    def elect(self):
        epoch = len(self.aggregators) + 1
        aggregator = UsageAggregator(
            self.store,
            SHARD,
            epoch,
            SETTINGS,
            self.platform,
            _Lease(epoch),
            f"c{epoch}",
            lambda: self.now,
            lambda: NODES,
        )
        aggregator._load()
        self.aggregators.append(aggregator)

    @rule(number=node_numbers, tenant=strategies.sampled_from(TENANTS))
    def request(self, number, tenant):
        meter = self.nodes[number][1]
        meter.finish_request(meter.start_request(tenant), tenant, self.now)
        counts = self.actual_counts.setdefault(meter.window_of(self.now), {})
        counts[tenant] = counts.get(tenant, 0) + 1

    @rule(seconds=strategies.floats(0.5, 12.0))
    def wait(self, seconds):
        self.now += seconds

    @rule(number=node_numbers)
    def restart(self, number):
        self.nodes[number] = self._new_node()

    @rule(number=node_numbers, term=terms)
    def send_counts(self, number, term):
        source, meter = self.nodes[number]
        windows = [UsageWindow(one, counts) for one, counts in meter.windows().items()]
        complete = int(meter.complete_before * 1000)
        self._aggregator(term).merge_counts(UsageCounts(SHARD, 1, source, windows, complete))

    @rule(term=terms, fault=faults, lost=strategies.booleans())
    def take_turn(self, term, fault, lost):
        """Let a coordinator update its ledger and report a window."""
        self.update_ledger(term, fault)
        self.report(term, lost)

    @rule(term=terms, fault=faults)
    def update_ledger(self, term, fault):
        """Let a coordinator decide due windows and write its ledger."""
        aggregator = self._aggregator(term)
        decided = aggregator._decide_due()
        if fault is not None:
            self.store.fail_next_write(fault)
        if decided or aggregator._dirty:
            aggregator._write()
        self.store._faults.clear()

    @rule(term=terms, lost=strategies.booleans())
    def report(self, term, lost):
        aggregator = self._aggregator(term)
        self.platform.response_lost = lost
        if aggregator._reportable:
            aggregator._report(min(aggregator._reportable))

    def _aggregator(self, term):
        return self.aggregators[max(0, len(self.aggregators) - 1 - term)]

    @invariant()
    def reported_requests_did_run(self):
        for window, counts in self.platform.reported.items():
            for tenant, count in counts.items():
                assert count <= self.actual_counts.get(window, {}).get(tenant, 0), (
                    window,
                    tenant,
                    count,
                )

    @invariant()
    def persisted_counts_are_part_of_the_decision(self):
        document = self.store.get(DocumentKind.USAGE_LEDGER, SHARD)
        if document is None:
            return
        ledger = UsageLedger.decode(document.content)
        for window, open_counts in ledger.open.items():
            self.persisted_counts[window] = {
                one: dict(counts) for one, counts in open_counts.items()
            }
        for window, counts in ledger.decided.items():
            recorded = UsageLedger(
                open={window: self.persisted_counts.get(window, {})}
            ).current_counts(window)
            for tenant, count in recorded.items():
                assert counts.get(tenant, 0) >= count, (window, tenant, counts, recorded)
