"""How long a runner goes on without hearing from its coordinator, and when it is given up.

The runner ends its runs when no answer of the coordinator to a progress message has come for
:data:`RUN_LEASE_SECONDS`, counted from when that message was sent. The coordinator lets an item go
on elsewhere only after :data:`LOST_SECONDS` without a message, counted from when the last one came:
that is later, so that no item is ever at two engines.
"""

from __future__ import annotations

PROGRESS_SECONDS = 0.15
"""A runner tells what has come of its runs so often, while there is anything to tell."""

HEARTBEAT_SECONDS = 0.4
"""It sends progress so often at least."""

PROGRESS_CALL_SECONDS = 0.6
"""A progress message that is not answered in this time is sent again."""

RUN_LEASE_SECONDS = 1.6
"""Two messages may be lost, one after the other."""

DISENGAGED_SECONDS = 15.0
"""A node that has had no answer for so long waits for another invitation."""

LOST_MARGIN_SECONDS = 0.5
"""For the time that a runner needs to notice the end of its lease and to reset connections."""

LOST_SECONDS = RUN_LEASE_SECONDS + LOST_MARGIN_SECONDS

RUNS_PER_RUNNER = 64
"""Runs at one node at once: 64 at 20 ms an event are 3,200 events a second, 0.2 of a core."""

LOCAL_RUNS = 220
"""So many runs the coordinator reads itself; where fewer items are open it needs no runners.

220 at 20 ms an event are 11,000 events a second, 0.65 of a core at 60 us an event; the machines
that coordinate have 1.3.
"""

DEMAND_SECONDS = 20.0
"""Runners are kept for so long after more items were open than the coordinator reads itself."""

LATE_MILLISECONDS = 150
"""A runner whose timers are so late gets no further run until it has caught up."""
