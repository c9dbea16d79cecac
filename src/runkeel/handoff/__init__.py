"""Hinted handoff of batch jobs that the store can't take.

A job is accepted once it stands in the store. While the store does not answer, it is accepted once
so many storage machines have it on their disks that one of them will still have it after any loss
that must be borne. Each of them writes it to the store when that is back; a job's document is made
once, so that it does not matter who comes first.

- :mod:`runkeel.handoff.hint_log`: hints on a machine's disk;
- :mod:`runkeel.handoff.hint_service`: the machine that keeps them and hands them on;
- :mod:`runkeel.handoff.hint_client`: the node that has a job to be kept.
"""
