"""Commands and queries through the HTTP face and the command line."""

import contextlib
import io
import json
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

from gevent.event import Event
from prompt_toolkit.document import Document

from runkeel.api.configuration import ModelSpec, ObjectKind, OperatorSpec
from runkeel.api.machines import Address, Machine, MachineKind, MachineState, MemberStatus
from runkeel.errors import ErrorCode, not_run
from runkeel.http.routes import RouteTable
from runkeel.http.server import HttpServer
from runkeel.operators.client import OperatorClient
from runkeel.operators.ctl import ExitCode, run_ctl
from runkeel.operators.prompt import CommandCompleter
from runkeel.operators.service import OperatorsService
from runkeel.operators.sources import QuerySources
from runkeel.operators.tokens import new_token
from runkeel.operators.work_sources import register_claims, register_steps
from runkeel.platform.weight_store import WeightVersion
from runkeel.settings import LimitSettings
from tests.operators.fakes import FakeWriter
from tests.weights.fakes import Cluster, FakeWeightStore, wait_until

ZONES = {"node-a": "zone-1", "node-b": "zone-2", "node-c": "zone-3"}


class OperatorsTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster(ZONES, ["zone-1", "zone-2", "zone-3"], FakeWeightStore())
        self.configuration = self.cluster.configuration
        self.configuration.put(ObjectKind.MODEL, "allocation", ModelSpec(target_version=1))
        self.writer = FakeWriter(self.configuration)
        self.weight_store = mock.Mock()
        self.weight_store.versions.return_value = (WeightVersion(1, 10),)
        routes = [RouteTable() for _ in ZONES]
        for node, table in zip(self.cluster.nodes.values(), routes, strict=True):
            self.make_service(node, table)
        self.server = HttpServer(Address("127.0.0.1", 0), routes[0], LimitSettings())
        self.server.start()
        self.addCleanup(self.server.stop)
        self.node_url = f"http://{self.server.address}"
        self.client = OperatorClient(self.node_url)
        for node in self.cluster.nodes.values():
            node.monitor.start()
            self.addCleanup(node.monitor.stop)
        engines = self.cluster.nodes["node-c"].monitor
        self.assertTrue(wait_until(lambda: engines.in_service("engine-2")))

    def make_service(self, node, routes):
        peer = self.cluster.peers.of(node.membership.node_id)
        OperatorsService(
            node.membership, self.configuration, self.cluster.machines, node.ownership, peer, peer,
            node.monitor, node.roll_out, self.writer, self.weight_store, routes, open_access=True,
        )  # fmt: skip

    def ctl(self, command, **options):
        """Run a command line; return the exit code and what it printed."""
        out, errors = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(errors):
            code = run_ctl(command, options.pop("node", self.node_url), **options)
        return code, out.getvalue() + errors.getvalue()

    def rows(self, query):
        return self.client.send(query).document["rows"]

    def test_query_gathers_rows_of_all_nodes(self):
        rows = self.rows("show backends where zone != zone-2 order by backend desc")
        self.assertEqual(["engine-2", "engine-0"], [row[0] for row in rows])
        self.assertEqual(["node-c", "node-a"], [row[4] for row in rows])
        self.assertEqual(1, len(self.rows("show backends limit 1")))

    def test_null_equals_only_null(self):
        self.cluster.nodes["node-a"].monitor.stop()
        self.assertEqual([], self.rows("show backends where role = rollout"))
        self.assertEqual(
            ["engine-0"], [row[0] for row in self.rows("show backends where role = null")]
        )
        self.assertEqual(2, len(self.rows("show backends where role != null")))
        self.assertEqual([], self.rows("show backends where version > 5"))

    def test_unreachable_zone_is_named(self):
        self.cluster.peers.cut.add("node-b")
        document = self.client.send("show backends").document
        self.assertEqual(["zone-2"], document["unreachable_zones"])
        self.assertEqual(["node-b"], document["unreachable_nodes"])
        self.assertEqual(2, len(document["rows"]))
        self.assertIn("zones that could not be asked: zone-2", self.ctl("show backends")[1])

    def test_listed_nodes_that_are_not_live_are_named_unless_they_left(self):
        membership = self.cluster.nodes["node-a"].membership
        for name, status in (("gone", MemberStatus.LEFT), ("lost", MemberStatus.DEAD)):
            address = membership.local().http
            self.cluster.machines.all.append(
                Machine(name, MachineKind.NODE, "zone-9", "", address, MachineState.LIVE, 1)
            )
            membership.gone[name] = replace(membership.local(), node_id=name, status=status)
        document = self.client.send("show versions").document
        self.assertEqual(["lost"], document["unreachable_nodes"])
        self.assertEqual(["zone-9"], document["unreachable_zones"])
        statuses = {row[0]: row[2] for row in self.rows("show nodes")}
        self.assertEqual(("left", "dead"), (statuses["gone"], statuses["lost"]))

    def test_every_table_answers(self):
        for (name,) in [row[:1] for row in self.rows("show resources")]:
            with self.subTest(name):
                document = self.client.send(f"show {name}").document
                for row in document["rows"]:
                    self.assertEqual(len(document["columns"]), len(row))
        machine = self.cluster.machines.machines(MachineKind.ENGINE)[0]
        self.assertIn(machine.machine_id, [row[0] for row in self.rows("show machines")])

    def test_unknown_resource_and_field_are_suggested(self):
        self.assertIn('did you mean "backends"', self.ctl("show bakends")[1])
        code, output = self.ctl("show backends where zonne = 1")
        self.assertEqual(ExitCode.USAGE, code)
        self.assertIn('did you mean "zone"', output)

    def test_deploy_and_its_exit_codes(self):
        code, output = self.ctl("deploy model allocation version 42")
        self.assertEqual(ExitCode.OK, code, output)
        self.assertEqual(42, self.configuration.model("allocation").target_version)
        self.assertEqual(ExitCode.REFUSED, self.ctl("deploy model other version 1")[0])
        self.assertEqual(ExitCode.REFUSED, self.ctl("create model allocation")[0])
        self.assertEqual(ExitCode.USAGE, self.ctl("deploy model allocation")[0])
        self.assertEqual(ExitCode.USAGE, self.ctl("deploy model allocation version 1", watch=1)[0])
        for url in ("http://a:b", "http://[x", "ftp://127.0.0.1:1", ""):
            self.assertEqual(ExitCode.USAGE, self.ctl("show nodes", node=url)[0])
        unreachable = self.ctl("show nodes", node="http://127.0.0.1:1")
        self.assertEqual(ExitCode.UNREACHABLE, unreachable[0], unreachable[1])
        document = json.loads(self.ctl("show models", output_format="json")[1])
        self.assertEqual(["name", "generation", "target_version"], document["columns"][:3])

    def test_drain_stop_and_undrain(self):
        self.assertEqual(ExitCode.OK, self.ctl('drain backend engine-0 reason "disk"')[0])
        self.assertTrue(self.configuration.is_draining("engine-0"))
        self.assertEqual(ExitCode.OK, self.ctl("undrain backend engine-0")[0])
        self.assertFalse(self.configuration.is_draining("engine-0"))
        self.assertEqual(ExitCode.OK, self.ctl("stop node node-b")[0])
        self.assertTrue(self.configuration.spec(ObjectKind.DRAIN, "node-b").stop)

    def test_tables_of_work(self):
        task = SimpleNamespace(running=[1], ready=False)
        step = SimpleNamespace(
            key=SimpleNamespace(model="allocation", step_id="s-1"), tasks={"t": task},
            trainer_version=3, confirmed_cursors=2, finished=False, submitted_at=0.0,
            last_used_at=0.0, undelivered_count=lambda: 1,
        )  # fmt: skip
        done, running = Event(), Event()
        done.set()
        claims = [
            ("r-1", SimpleNamespace(started=0.0, done=running, error=None)),
            ("r-2", SimpleNamespace(started=0.0, done=done, error=None)),
            ("r-3", SimpleNamespace(started=0.0, done=done, error=not_run(ErrorCode.INTERNAL))),
        ]
        sources = QuerySources()
        register_steps(sources, "node-a", lambda: [step])
        register_claims(sources, "node-a", lambda: claims)
        [row] = sources.get("steps").provider()
        self.assertEqual(("s-1", "allocation", "node-a", 1, 1, 0, 1, 2, 3, False), row[:10])
        states = [row[2] for row in sources.get("claims").provider()]
        self.assertEqual(["running", "answered", "failed"], states)

    def test_slips_are_warned_of_and_nothing_is_refused_for_them(self):
        self.assertIn('did you mean "engine-0"', self.ctl("drain backend engin-0")[1])
        self.assertIn("does not hold version 9", self.ctl("deploy model allocation version 9")[1])
        self.assertNotIn("warning", self.ctl("deploy model allocation version 1")[1])
        self.weight_store.versions.side_effect = not_run(ErrorCode.STORE_UNAVAILABLE, "down")
        code, output = self.ctl("deploy model allocation version 2")
        self.assertEqual((ExitCode.OK, True), (code, "is not known" in output))

    def test_dry_run_checks_and_writes_nothing(self):
        text = "set model allocation swap_fraction 50% --dry-run"
        document = self.client.send(text).document
        self.assertEqual(("dry_run", 0.5), (document["outcome"], document["spec"]["swap_fraction"]))
        self.assertEqual(0.34, self.configuration.model("allocation").swap_fraction)
        code, output = self.ctl("set model allocation swap_fraction 300% --dry-run")
        self.assertEqual(ExitCode.REFUSED, code)
        self.assertIn("swap_fraction", output)
        conflict = "set model allocation swap_fraction 50% if generation 9 --dry-run"
        self.assertEqual(ExitCode.REFUSED, self.ctl(conflict)[0])

    def test_racing_conditional_commands_have_one_winner(self):
        codes = [
            self.ctl(f"deploy model allocation version {version} if generation 1")[0]
            for version in (2, 3)
        ]
        self.assertEqual([ExitCode.OK, ExitCode.REFUSED], codes)
        self.assertEqual(2, self.configuration.model("allocation").target_version)

    def test_lost_answer_is_settled_by_show_command(self):
        self.writer.lose_answers = True
        code, output = self.ctl("deploy model allocation version 7")
        self.assertEqual(ExitCode.OUTCOME_UNKNOWN, code)
        question = output.strip().rpartition("settle it by: ")[2]
        code, output = self.ctl(question)
        self.assertEqual(ExitCode.OK, code)
        self.assertIn("accepted: generation 2", output)
        self.assertIn("not_found", self.ctl("show command never-sent")[1])

    def test_store_outage_is_a_refusal(self):
        self.writer.down = True
        self.assertEqual(ExitCode.REFUSED, self.ctl("deploy model allocation version 7")[0])
        self.assertEqual(ExitCode.OK, self.ctl("show models")[0])

    def test_tokens_and_roles(self):
        tokens = {"reader": new_token(), "chief": new_token()}
        create = "create operator {} role {}, token_sha256 {}, salt {}"
        reader, chief = tokens["reader"], tokens["chief"]
        refused = create.format("reader", "read", reader.token_sha256, reader.salt)
        self.assertEqual(ExitCode.REFUSED, self.ctl(refused)[0], "nobody could operate then")
        self.configuration.put(
            ObjectKind.OPERATOR, "chief",
            OperatorSpec(role="operate", token_sha256=chief.token_sha256, salt=chief.salt),
        )  # fmt: skip
        self.configuration.put(
            ObjectKind.OPERATOR, "reader",
            OperatorSpec(token_sha256=reader.token_sha256, salt=reader.salt),
        )  # fmt: skip
        expected = {
            "": (ExitCode.REFUSED, ExitCode.REFUSED),
            "guess": (ExitCode.REFUSED, ExitCode.REFUSED),
            reader.token: (ExitCode.OK, ExitCode.REFUSED),
            chief.token: (ExitCode.OK, ExitCode.OK),
        }
        with tempfile.TemporaryDirectory() as folder:
            token_file = Path(folder) / "token"
            for token, codes in expected.items():
                token_file.write_text(token + "\n")
                for command, code in zip(("show config", "drain node x"), codes, strict=True):
                    result, output = self.ctl(command, token_file=token_file)
                    self.assertEqual(code, result, output)
                    self.assertNotIn(chief.token_sha256, output)
        self.assertEqual(ExitCode.USAGE, self.ctl("show nodes", token_file=Path("/none"))[0])

    def test_commands_are_remembered_without_secrets(self):
        self.ctl("create operator chief role operate, token_sha256 5ecre7, salt 5a17")
        self.configuration.put(ObjectKind.OPERATOR, "chief", None)
        self.ctl("drain node x")
        rows = self.rows("show commands order by ago_ms desc")
        self.assertEqual(["create operator chief ...", "drain node x"], [row[2] for row in rows])

    def test_bad_bodies_are_refused(self):
        client = OperatorClient(self.node_url)
        for document in (
            [],
            {},
            {"command": ""},
            {"command": "drain node x", "command_id": "é" * 99},
        ):
            with self.subTest(document), self.assertRaises(Exception) as caught:
                client._post("/v1/commands", document, "")
            self.assertEqual("bad_request", str(caught.exception.code))

    def test_completion_at_the_prompt(self):
        completer = CommandCompleter({"backends": ["backend", "zone"], "nodes": ["node"]})

        def complete(text):
            return [item.text for item in completer.get_completions(Document(text), None)]

        self.assertEqual(["deploy"], complete("dep"))
        self.assertEqual(["backends"], complete("show b"))
        self.assertEqual(["zone"], complete("show backends where z"))
        self.assertEqual(["default_deadline_ms", "default_priority_class"],
                         complete("set service x def"))  # fmt: skip


if __name__ == "__main__":
    unittest.main()
