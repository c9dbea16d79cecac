"""Counting the requests of each tenant, and reporting the counts once for each window of time.

A node counts what servers began to run for it (:mod:`runkeel.usage.meter`) and tells its counts to
the coordinator (:mod:`runkeel.usage.teller`). The coordinator gathers them in a ledger
(:mod:`runkeel.usage.ledger`) that stands in the store, decides there once what is reported of a
window, and reports it under the order lease (:mod:`runkeel.usage.duty`).
"""
