"""A small deployment for a script: the project's nodes as processes, and stand-ins around them.

Every machine has a loopback address of its own. The settings are those of the site file
agreste-estoque: three storage machines and three edge machines in three zones.
"""

from __future__ import annotations

import base64
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from standins.store import PlatformStore

ROOT = Path(__file__).resolve().parents[2]
HOST = "pantry.example"
MODEL = "alloc"
ENGINES = "alloc-model"
APPLICATION = "estoque-app"
DRAFT = "/draft/"
SCORE = "/check/"
COUNT = "/count/"
CHAT = "/chat/"
ZONES = ("recife-galpao", "caruaru-galpao", "petrolina-galpao")
PEER_PORT = 7720
METRICS_PORT = 9464
"""Fixed by the project's settings; free on a loopback address of its own."""

MEMORY_MB = {"edge": 300, "storage": 310}
"""Memory of a machine's process, as in the site file."""

RESTART_SECONDS = 0.5
"""The platform starts a process that has ended again after a short delay."""

HEARTBEATS_SECONDS = 3.6
"""After three heartbeats of silence a server's entry goes."""

BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4.3,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "BackMs": 250,
    "MaxStretchMs": 5000,
    "RecoverS": 12,
    "PassMs": 120,
    "RetryAfterS": 0,
    "FinishS": 10,
    "StatusS": 120,
    "CancelMs": 3000,
    "SettleMs": 1000,
    "QuotaOverage": 0.1,
    "FencingRequired": False,
    "LeaseMs": 3000,
    "ThawMs": 300,
}


class CannotRunError(Exception):
    """The case couldn't run."""


def trouble() -> bool:
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


class Deployment:
    """Nodes, servers and store; everything that it started ends with :meth:`stop`."""

    def __init__(self, folder: Path) -> None:
        self.started_at = time.monotonic()
        self._record = (folder / "record.txt").open("w")
        self._lock = threading.Lock()
        self._temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self._network = _free_network()
        self.store = PlatformStore(f"{self._network}.1")
        self._hosts = 10
        self._processes: dict[str, subprocess.Popen] = {}
        self._settings: dict[str, Path] = {}
        self.frontends: dict[str, tuple[str, int]] = {}
        self.server_notes: list[dict[str, Any]] = []
        self.peak_mb: dict[str, int] = {}
        self.own_ends: dict[str, int] = {}
        """How often each node ended by itself, which includes by its memory."""
        self._stopped = False
        self._run = _run_commands()

    def note(self, text: str) -> None:
        """Write a line into the record, with the time since the start."""
        with self._lock:
            self._record.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")
            self._record.flush()

    def configure(self, **draft: Any) -> None:
        """Write the configuration, as the operator does.

        Args:
            draft: further settings of the route for batch jobs.
        """
        routes = [
            _route("count", COUNT, "idempotent", APPLICATION, MaxAttempts=2),
            _route("check", SCORE, "idempotent", APPLICATION, MaxAttempts=4),
            _route(
                "draft",
                DRAFT,
                "rollout",
                ENGINES,
                TimeoutMs=10000,
                MaxAttempts=3,
                **{"ResultDeadlineMs": 7500, "MaxQueueS": 60, **draft},
            ),
            _route("chat", CHAT, "streaming", ENGINES, TimeoutMs=10000, Resumable=True),
        ]
        engine = {"Slots": 8, "KvCapacity": 103490, "Models": [{"Name": MODEL}]}
        services = [
            {"Name": ENGINES, "HealthPath": "/healthz", "MaxConnections": 150, "Engine": engine},
            {"Name": APPLICATION, "HealthPath": "/healthz", "MaxConnections": 110},
        ]
        limits = {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 33554432,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        }
        configuration = {"Version": 1, "Routes": routes, "Services": services, "Limits": limits}
        self.store.objects.put("config", "main", configuration)

    def start_server(self, server_id: str, kind: str, zone: str, **more: Any) -> None:
        """Start a server's process and write its entry."""
        settings = {"Id": server_id, "Kind": kind, "Host": self._next_host(), **more}
        command = [
            sys.executable,
            str(Path(__file__).with_name("servers.py")),
            json.dumps(settings),
        ]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self._processes[server_id] = process
        port = json.loads(process.stdout.readline())["port"]
        threading.Thread(target=self._read_notes, args=(process,), daemon=True).start()
        entry = {
            "Service": APPLICATION if kind == "app" else ENGINES,
            "Address": f"{settings['Host']}:{port}",
            "Zone": zone,
            "Version": "v1",
            "Slots": 6 if kind == "app" else 8,
            "State": "ready",
            "ColdRemainingMs": 0,
        }
        if kind == "model":
            version = settings.get("Versions", {}).get(MODEL, 1)
            models = [{"Name": MODEL, "Version": version, "Adapters": []}]
            entry |= {"Stage": "both", "Models": models, "Sequence": 0}
        self.store.objects.put("servers", server_id, entry)

    def _read_notes(self, process: subprocess.Popen) -> None:
        for line in process.stdout:
            fields = {**json.loads(line), "at": time.monotonic()}
            self.server_notes.append(fields)
            if "order" in fields:
                self._update_entry(fields["server"], fields["order"], fields["sequence"])
            self.note(f"at a server: {line.strip()}")

    def _update_entry(self, server_id: str, version: int, sequence: int) -> None:
        """Write a server's entry again after an order, as servers do."""
        known = self.store.objects.get("servers", server_id)
        if known is not None:
            models = [{"Name": MODEL, "Version": version, "Adapters": []}]
            entry = {**known["Spec"], "Models": models, "Sequence": sequence}
            self.store.objects.put("servers", server_id, entry)

    def crash_server(self, server_id: str) -> None:
        """Kill a server's process; its entry goes after three heartbeats."""
        self.note(f"server {server_id} crashes (SIGKILL)")
        self._processes[server_id].kill()
        timer = threading.Timer(
            HEARTBEATS_SECONDS, lambda: self.store.objects.remove("servers", server_id)
        )
        timer.daemon = True
        timer.start()

    @property
    def coordinator(self) -> str:
        """Name of the machine that the store's object of the system names as its leader."""
        return self.store.objects.get("runkeel-coordinators", "fleet")["Spec"]["node"]

    def is_running(self, name: str) -> bool:
        """Return whether a server's or a node's process runs."""
        return self._processes[name].poll() is None

    def start_nodes(self) -> None:
        """Start three storage and three edge machines, and wait until all are ready."""
        for number, zone in enumerate(ZONES):
            self._add_node(f"storage-{zone}-1", "storage", zone, number)
            self._add_node(f"edge-{zone}-1", "edge", zone, number)
        for name in self._settings:
            self.start_node(name)
        self.wait_until("nodes are ready", 15.0, lambda: all(map(self.ready, self.frontends)))
        self.wait_until(
            "a coordinator", 15.0, lambda: self.store.objects.names("runkeel-coordinators")
        )
        time.sleep(3.5)

    def _add_node(self, name: str, machine_class: str, zone: str, number: int) -> None:
        host = self._next_host()
        data = None
        listen = {}
        if machine_class == "edge":
            port = _free_port(host)
            listen = {"Frontend": f"{host}:{port}", "Readiness": f"{host}:{_free_port(host)}"}
            self.frontends[name] = (host, port)
        else:
            data = str(self._temporary / name)
            Path(data).mkdir()
        settings = {
            "NodeName": name,
            "Role": machine_class,
            "MachineClass": machine_class,
            "Serves": [machine_class],
            "Ip": host,
            "Zone": zone,
            "Region": "nordeste",
            "Zones": dict.fromkeys(ZONES, "nordeste"),
            "Listen": listen,
            "InternalPorts": [PEER_PORT, PEER_PORT + 15],
            "Seeds": [],
            "Bootstrap": True,
            "LossCounts": machine_class == "storage",
            "Limits": {
                "MemoryMb": MEMORY_MB[machine_class],
                "MaxFds": 4100,
                "LinkMbps": 1000.0,
            },
            "DataDir": data,
            "Discovery": "platform",
            "Entry": "vip",
            "HeartbeatMs": 1200,
            "Contracts": ["base", "drain", "config", "recover", "samples", "stream", "batch"],
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": BOUNDS,
            "Platform": {
                "Address": self.store.address,
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "HistoryS": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }
        path = self._temporary / f"{name}.json"
        path.write_text(json.dumps(settings))
        self._settings[name] = path

    def start_node(self, name: str) -> None:
        """Start a node with the command of the deploy file."""
        machine_class = name.partition("-")[0]
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "RUNKEEL_BOOT": str(self._settings[name]),
        }
        log = (self._temporary / f"{name}.log").open("a")
        self._processes[name] = subprocess.Popen(
            self._run[machine_class].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
        )

    def restart_node(self, name: str) -> None:
        """Start a node that has ended again, after a short delay."""
        time.sleep(RESTART_SECONDS)
        if self._stopped:
            return
        settings = json.loads(self._settings[name].read_text())
        self._settings[name].write_text(json.dumps({**settings, "Bootstrap": False}))
        self.start_node(name)
        self.note(f"{name} is started again")

    def watch_memory(self) -> None:
        """Kill each node that is over its memory and start it again, as the platform does."""
        threading.Thread(target=self._watch_memory, daemon=True).start()

    def _watch_memory(self) -> None:
        while not self._stopped:
            time.sleep(0.01)
            for name in self._settings:
                self._check_memory(name, self._processes[name])

    def _check_memory(self, name: str, process: subprocess.Popen) -> None:
        used = _resident_mb(process.pid)
        self.peak_mb[name] = max(used, self.peak_mb.get(name, 0))
        if used <= MEMORY_MB[name.partition("-")[0]] or process.poll() is not None:
            return
        process.kill()
        process.wait()
        self.own_ends[name] = self.own_ends.get(name, 0) + 1
        self.note(f"{name} is over its memory: {used} MB; the platform kills it")
        threading.Thread(target=self.restart_node, args=(name,), daemon=True).start()

    def signal_node(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a node."""
        self.note(f"{number.name} to {name}")
        self._processes[name].send_signal(number)

    def node_log(self, name: str) -> str:
        """Return what a node has logged."""
        return (self._temporary / f"{name}.log").read_text()

    def ready(self, name: str) -> bool:
        """Return whether a node serves the configuration."""
        status, _ = self.call(name, "GET", f"{COUNT}ready", "ready-check", quiet=True)
        return status == 200

    def wait_until(self, what: str, seconds: float, condition: Callable[[], Any]) -> None:
        """Wait for a condition. Raises CannotRunError if it isn't met in time."""
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                raise CannotRunError(what)
            time.sleep(0.1)

    def call(
        self,
        node: str,
        method: str,
        target: str,
        attempt: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        quiet: bool = False,
        timeout: float = 12.0,
    ) -> tuple[int, bytes]:
        """Send a client's request on a new connection; status 0 if there is no whole answer."""
        connection = http.client.HTTPConnection(*self.frontends[node], timeout=timeout)
        sent = {"Host": HOST, "Attempt-Id": attempt, **(headers or {})}
        status, answer = 0, b""
        try:
            connection.request(method, target, body, sent)
            response = connection.getresponse()
            answer = response.read()
            status = response.status
        except (OSError, http.client.HTTPException) as error:
            answer = repr(error).encode()
        finally:
            connection.close()
        if not quiet:
            shown = answer[:300].decode("utf-8", "replace")
            self.note(f"{node}: {method} {target} ({len(body)} B) -> {status or 'none'} {shown}")
        return status, answer

    def name_version(self, version: int) -> None:
        """Name a version of the model, as the trainer does."""
        self.note(f"version {version} is named")
        self.store.objects.put("versions", MODEL, {"Model": MODEL, "Version": version})

    def submit(
        self,
        node: str,
        job_id: str,
        items: list[dict[str, Any]],
        step: int = 0,
        min_version: int = 1,
    ) -> int:
        """Submit a batch job; returns the status."""
        groups = len({item["Group"] for item in items})
        job = {
            "Step": step,
            "Model": MODEL,
            "MinVersion": min_version,
            "DesiredCount": groups,
            "Items": items,
        }
        headers = {"Content-Type": "application/json"}
        body = json.dumps(job).encode()
        return self.call(node, "POST", f"{DRAFT}{job_id}", job_id, body, headers)[0]

    def end_job(self, node: str, job_id: str) -> int:
        """End a batch job; returns the status."""
        return self.call(node, "DELETE", f"/runkeel/lots/{job_id}", "end")[0]

    def read_job(self, node: str, job_id: str, quiet: bool = False) -> dict[str, Any] | None:
        """Return all results of a batch job, or None unless the answers are 200."""
        results: list[dict[str, Any]] = []
        while True:
            target = f"/runkeel/lots/{job_id}?AfterRevision={len(results)}"
            status, body = self.call(node, "GET", target, "read", quiet=quiet)
            if status != 200:
                return None
            page = json.loads(body)
            results += page["Results"]
            if not page["Results"] or len(results) >= page["Total"]:
                return {"Total": page["Total"], "Results": results}

    def stop(self) -> None:
        """End all processes that were started, and remove the temporary folder."""
        self._stopped = True
        time.sleep(2 * RESTART_SECONDS)
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()
        self._record.close()
        kept = os.environ.get("REVIEW_KEEP")
        if kept:
            shutil.copytree(self._temporary, kept, dirs_exist_ok=True)
        shutil.rmtree(self._temporary, ignore_errors=True)

    def _next_host(self) -> str:
        self._hosts += 1
        return f"{self._network}.{self._hosts}"


def item(name: str, events: int, group: str, body: bytes = b"prompt") -> dict[str, Any]:
    """Return an item whose output has a number of events."""
    return {
        "Id": name,
        "Path": f"{DRAFT}{name}-{events}",
        "Headers": {"Model": MODEL, "Token-Usage": "16,400", "Prompt-Prefix": f"{group}:16"},
        "Body": base64.b64encode(body).decode(),
        "TokenCount": 416,
        "Group": group,
        "Scorer": {
            "Id": f"s{name}",
            "Host": HOST,
            "Path": f"{SCORE}{name}",
            "Body": base64.b64encode(b"score").decode(),
        },
    }


def run_case(folder: Path, case: Callable[[Deployment], bool]) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    deployment: Deployment | None = None
    status = 2
    try:
        deployment = Deployment(folder)
        broken = case(deployment)
        deployment.note("the rule was broken" if broken else "the rule held")
        print("the rule was broken" if broken else "the rule held")
        status = 1 if broken else 0
    except (CannotRunError, OSError) as error:
        print(f"the case couldn't run: {error}", file=sys.stderr)
    finally:
        if deployment is not None:
            deployment.stop()
    sys.exit(status)


def _route(name: str, prefix: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": prefix,
        "RouteType": kind,
        "TimeoutMs": 1500,
        "TargetLatencyMs": 400,
        "Priority": 2,
        "Service": service,
        "MaxAttempts": 3,
        **more,
    }


def _resident_mb(pid: int) -> int:
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    except (OSError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE") // 1_000_000


def _run_commands() -> dict[str, str]:
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return {role["on"]: role["run"] for role in deploy["roles"].values()}


def _free_network() -> str:
    for _ in range(50):
        network = f"127.{random.randint(60, 250)}.{random.randint(1, 250)}"
        try:
            with socket.create_server((f"{network}.11", METRICS_PORT)):
                return network
        except OSError:
            continue
    raise CannotRunError("no free loopback addresses")


def _free_port(host: str) -> int:
    with socket.create_server((host, 0)) as listener:
        return listener.getsockname()[1]
