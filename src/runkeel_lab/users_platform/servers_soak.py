"""Soak test of servers restarted under the same id, and of invalid entries by another writer.

In addition to the acts of :mod:`runkeel_lab.users_platform.crash_soak`, crashed servers return
under the same or a new id, and another writer stores invalid entries: under new names, and over the
entries of running servers until their next heartbeat.

Checked in addition to that module:

- No connection is made to the address in an invalid entry, and no node lists one as a server.
- After recovery, and once more after every server has then restarted under its id, every node uses
  the current incarnation of every server.
"""

from __future__ import annotations

import random

import gevent
from gevent.server import StreamServer

from runkeel.clock import steady_seconds
from runkeel_lab.users_platform.crash_soak import CrashSoak
from runkeel_lab.users_platform.foreign_entries import draw_invalid_entry
from runkeel_lab.users_platform.servers import PlatformServer

HEARTBEAT_INTERVAL_SECONDS = 0.4
"""Time until a server rewrites an entry that another writer has overwritten."""

SETTLE_TIMEOUT_SECONDS = 6.0
"""Maximum time until all nodes use a returned server; must exceed the longest ejection."""

FOREIGN_PREFIX = "foreign-"
FOREIGN_ENTRY_COUNT = 4
"""Number of names under which the other writer stores entries."""

_CHECK_INTERVAL_SECONDS = 0.1


class ServersSoak(CrashSoak):
    """One soak run; the seed determines the plan of acts."""

    def __init__(self, seed: int, seconds: float, edges: int = 3) -> None:
        super().__init__(seed, seconds, edges)
        self._honeypot = StreamServer(("127.0.0.1", 0), self._count_connection)
        self._honeypot_connections = 0
        self._listed_invalid_entries: set[str] = set()
        """Names of invalid entries that some node has listed as servers."""
        self._acts["naming"] = self._change_id_reuse
        self._acts["writer"] = self._write_invalid_entries
        self._frequent_acts = ("chance", "chance", "naming", "writer")

    def _start_tasks(self, end: float) -> list[gevent.Greenlet]:
        self._honeypot.start()
        self._deployment.crashes.reuse_id = True
        return [*super()._start_tasks(end), gevent.spawn(self._monitor_directories, end)]

    def _monitor_directories(self, end: float) -> None:
        """Check that no node lists an invalid entry, even one that would get no traffic."""
        while steady_seconds() < end:
            for name in self._deployment.node_names:
                process = self.process(name)
                known = process.node.directory.all() if process is not None else ()
                used = {
                    one.backend_id for one in known if one.backend_id.startswith(FOREIGN_PREFIX)
                }
                if used - self._listed_invalid_entries:
                    self._listed_invalid_entries |= used
                    self._report_violation(
                        f"{name}: takes wrong entries for servers: {sorted(used)}"
                    )
            gevent.sleep(_CHECK_INTERVAL_SECONDS)

    def _count_connection(self, sock: gevent.socket.socket, peer: tuple[str, int]) -> None:
        """Count a connection to the address in the invalid entries."""
        self._honeypot_connections += 1
        sock.close()

    def _change_id_reuse(self, rng: random.Random) -> None:
        """Choose at random whether later replacements keep the id of the crashed server."""
        self._deployment.crashes.reuse_id = rng.random() < 0.7

    def _write_invalid_entries(self, rng: random.Random) -> None:
        """Write invalid entries under new names and over the entry of a running server."""
        objects = self._deployment.store.objects
        servers = self._servers()
        server = rng.choice(servers)
        objects.put("servers", server.server_id, draw_invalid_entry(server.entry, rng))
        gevent.spawn_later(HEARTBEAT_INTERVAL_SECONDS, self._write_entry, server)
        host, port = self._honeypot.address
        for number in range(FOREIGN_ENTRY_COUNT):
            entry = {**rng.choice(servers).entry, "Address": f"{host}:{port}"}
            objects.put("servers", f"{FOREIGN_PREFIX}{number}", draw_invalid_entry(entry, rng))

    def _servers(self) -> list[PlatformServer]:
        return [*self._deployment.engines, *self._deployment.applications]

    def _check(self) -> None:
        self._honeypot.stop()
        if self._honeypot_connections:
            self._report_violation(
                f"{self._honeypot_connections} connections to the address of wrong entries"
            )
        self._check_servers()
        self._restart_all_servers()
        self._check_servers()
        super()._check()

    def _restart_all_servers(self) -> None:
        """Restart every server under its id, and return when all have been started again.

        What the faults leave does not always show whether nodes recognize a new incarnation: the
        last restarts may have been under new ids, or of the nodes.
        """
        self._deployment.crashes.reuse_id = True
        for server in self._servers():
            self._deployment.crash(server)
        while any(server.crashed for server in self._servers()):
            gevent.sleep(_CHECK_INTERVAL_SECONDS)

    def _check_servers(self) -> None:
        deadline = steady_seconds() + SETTLE_TIMEOUT_SECONDS
        while problems := self._unused_servers():
            if steady_seconds() > deadline:
                for problem in problems:
                    self._report_violation(problem)
                return
            gevent.sleep(_CHECK_INTERVAL_SECONDS)

    def _unused_servers(self) -> list[str]:
        return [
            f"{name}: does not use {server.server_id}, which began at {server.born_ms}"
            for name in self._deployment.node_names
            for server in self._servers()
            if not server.crashed and not self._uses(name, server)
        ]

    def _uses(self, name: str, server: PlatformServer) -> bool:
        process = self.process(name)
        if process is None:
            return False
        state = process.node.directory.get(server.server_id)
        present = state is not None and state.backend.start == str(server.born_ms)
        return present and state.backend.accepts_work and not state.avoided(steady_seconds())
