"""Distributes the reading of generation streams over the nodes of a large fleet.

One process can read the event streams of a few hundred generations. Where the engines have more
slots, the coordinator still assigns items to engines, but delegates reading their streams to other
nodes, called runners, preferably in the engine's zone:

- :mod:`runkeel.runners.pool`: the coordinator's side, assigns runs to runners;
- :mod:`runkeel.runners.remote_run`: a run at another node, as the scheduler sees it;
- :mod:`runkeel.runners.service`: the runner's side, accepts runs and reports their progress;
- :mod:`runkeel.runners.hosted_run`: a run at the node that reads its stream;
- :mod:`runkeel.runners.lease`: timeouts of the lease between runner and coordinator.
"""
