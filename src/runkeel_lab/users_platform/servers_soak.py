"""A soak of servers that start again under their id, and of entries that another writer wrote.

Beside requests that crash servers, crashes by chance, outages and what operators do: servers come
back under the id that they had, or under another one; another program writes entries that are wrong
in one field, under new names and over those of servers at work, until the servers' next heartbeat.

The oracle, beyond that of :mod:`runkeel_lab.users_platform.crash_soak`: nothing is ever sent to the
address that a wrong entry names, and once all is quiet every node uses every server, at its present
start.
"""

from __future__ import annotations

import random

import gevent
from gevent.server import StreamServer

from runkeel.clock import steady_seconds
from runkeel_lab.users_platform.crash_soak import CrashSoak
from runkeel_lab.users_platform.foreign_entries import draw_invalid_entry
from runkeel_lab.users_platform.servers import PlatformServer

HEARTBEAT_SECONDS = 0.4
"""A server writes its entry anew so long after another writer changed it."""

SETTLED_SECONDS = 6.0
"""A server that came back is used by all nodes after so long: pauses last 4 s at the most."""

FOREIGN = "foreign-"
FOREIGN_ENTRIES = 4
"""Names under which another program writes entries of its own."""

_CHECK_SECONDS = 0.1


class ServersSoak(CrashSoak):
    """One soak with a seed; the same seed gives the same plan."""

    def __init__(self, seed: int, seconds: float, edges: int = 3) -> None:
        super().__init__(seed, seconds, edges)
        self._trap = StreamServer(("127.0.0.1", 0), self._spring)
        self._sprung = 0
        self._taken: set[str] = set()
        """Names of wrong entries that some node took for a server."""
        self._acts["naming"] = self._change_naming
        self._acts["writer"] = self._write_wrongly
        self._frequent_acts = ("chance", "chance", "naming", "writer")

    def _start_tasks(self, end: float) -> list[gevent.Greenlet]:
        self._trap.start()
        self._deployment.crashes.keeps_id = True
        return [*super()._start_tasks(end), gevent.spawn(self._watch_directories, end)]

    def _watch_directories(self, end: float) -> None:
        """See that no node takes a wrong entry for a server; a few would get no traffic by luck."""
        while steady_seconds() < end:
            for name in self._deployment.node_names:
                process = self.process(name)
                known = process.node.directory.all() if process is not None else ()
                used = {one.backend_id for one in known if one.backend_id.startswith(FOREIGN)}
                if used - self._taken:
                    self._taken |= used
                    self._violated(f"{name}: takes wrong entries for servers: {sorted(used)}")
            gevent.sleep(_CHECK_SECONDS)

    def _spring(self, sock: gevent.socket.socket, peer: tuple[str, int]) -> None:
        """Count a connection to the address that wrong entries name."""
        self._sprung += 1
        sock.close()

    def _change_naming(self, rng: random.Random) -> None:
        """Decide whether servers come back under the id that they had, from now on."""
        self._deployment.crashes.keeps_id = rng.random() < 0.7

    def _write_wrongly(self, rng: random.Random) -> None:
        """Write wrong entries under new names, and over that of a server at work."""
        objects = self._deployment.store.objects
        servers = [*self._deployment.engines, *self._deployment.applications]
        server = rng.choice(servers)
        objects.put("servers", server.server_id, draw_invalid_entry(server.entry, rng))
        gevent.spawn_later(HEARTBEAT_SECONDS, self._write_entry, server)
        host, port = self._trap.address
        for number in range(FOREIGN_ENTRIES):
            entry = {**rng.choice(servers).entry, "Address": f"{host}:{port}"}
            objects.put("servers", f"{FOREIGN}{number}", draw_invalid_entry(entry, rng))

    def _check(self) -> None:
        self._trap.stop()
        if self._sprung:
            self._violated(f"{self._sprung} connections to the address of wrong entries")
        self._check_servers()
        super()._check()

    def _check_servers(self) -> None:
        deadline = steady_seconds() + SETTLED_SECONDS
        while problems := self._unused_servers():
            if steady_seconds() > deadline:
                for problem in problems:
                    self._violated(problem)
                return
            gevent.sleep(_CHECK_SECONDS)

    def _unused_servers(self) -> list[str]:
        servers = [*self._deployment.engines, *self._deployment.applications]
        return [
            f"{name}: does not use {server.server_id}, which began at {server.born_ms}"
            for name in self._deployment.node_names
            for server in servers
            if not server.ended and not self._uses(name, server)
        ]

    def _uses(self, name: str, server: PlatformServer) -> bool:
        process = self.process(name)
        if process is None:
            return False
        state = process.node.directory.get(server.server_id)
        present = state is not None and state.backend.start == str(server.born_ms)
        return present and state.backend.takes_work and not state.avoided(steady_seconds())
