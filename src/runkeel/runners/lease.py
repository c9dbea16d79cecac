"""Timeouts and limits of the lease between a runner and its coordinator.

A runner ends its runs when :data:`RUN_LEASE_SECONDS` have passed since it sent the last progress
message that the coordinator replied to. The coordinator restarts an item elsewhere only when
:data:`RUNNER_LOST_SECONDS` have passed since it received the runner's last message. That is always
later, so that no item ever runs at two engines.
"""

from __future__ import annotations

PROGRESS_INTERVAL_SECONDS = 0.15
"""Interval between progress messages while the runner has runs or unsent updates."""

HEARTBEAT_SECONDS = 0.4
"""Interval between progress messages of an idle runner."""

PROGRESS_TIMEOUT_SECONDS = 0.6
"""Timeout of a progress message; its updates are sent again in the next one."""

RUN_LEASE_SECONDS = 1.6
"""Duration of a runner's lease; long enough for two lost messages in succession."""

COORDINATOR_SILENCE_SECONDS = 15.0
"""A runner without a reply for this long ends its assignment and waits for a new invitation."""

LEASE_MARGIN_SECONDS = 0.5
"""Time for a runner to notice that its lease has expired and to reset its connections."""

RUNNER_LOST_SECONDS = RUN_LEASE_SECONDS + LEASE_MARGIN_SECONDS
"""A runner that has been silent for this long is lost: its lease has certainly expired."""

MAX_RUNS_PER_RUNNER = 64
"""Maximum number of concurrent runs at a runner."""

MAX_LOCAL_RUNS = 220
"""Maximum number of concurrent runs at the coordinator itself; up to this many open items it needs
no runners."""

DEMAND_RETENTION_SECONDS = 20.0
"""Runners are kept for this long after the open items last exceeded :data:`MAX_LOCAL_RUNS`."""

MAX_LOOP_LAG_MILLISECONDS = 150
"""A runner is assigned no further runs while its event loop lag is at or above this value."""
