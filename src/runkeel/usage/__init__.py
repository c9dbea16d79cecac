"""Counts requests by tenant and reports the counts once for each time window.

Each node counts the requests that servers started for it (:mod:`runkeel.usage.meter`) and sends the
counts to the coordinator (:mod:`runkeel.usage.usage_reporter`). The coordinator collects them in a
ledger (:mod:`runkeel.usage.ledger`) persisted in the store, decides there once what is reported for
a window, and reports it while it holds the order lease, which one node holds at a time
(:mod:`runkeel.usage.usage_aggregator`).
"""
