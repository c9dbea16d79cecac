"""Hinted handoff of batch jobs while the document store is unavailable.

A job is accepted once it is in the store. While the store is unavailable, a job is accepted once
enough storage nodes have it on disk, as a hint, for one copy to survive any loss within the
configured tolerance. Each of these nodes writes the job to the store when that is available again.
A job's document is created only once, so that their order does not matter.

- :mod:`runkeel.handoff.hint_log`: hints on a storage node's disk;
- :mod:`runkeel.handoff.hint_service`: the storage node, which keeps hints and hands them off;
- :mod:`runkeel.handoff.hint_client`: the node that has received a job from its submitter;
- :mod:`runkeel.handoff.storage_quorum`: which sets of storage nodes are enough.
"""
