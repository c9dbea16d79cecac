"""Running the items of a large fleet on many nodes: the coordinator places, runners read.

One process can read the events of a few hundred generations. Where the engines make more, the
coordinator has other nodes of the engines' zones run the items that it has placed:

- :mod:`runkeel.runners.pool`: the coordinator's side, which node runs what;
- :mod:`runkeel.runners.remote_run`: one run at another node, as the scheduler sees it;
- :mod:`runkeel.runners.service`: a runner's side, accepts runs and tells their progress;
- :mod:`runkeel.runners.hosted_run`: one run at the node that reads it;
- :mod:`runkeel.runners.lease`: how long a runner may go on without the coordinator.
"""
