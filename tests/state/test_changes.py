import unittest

import gevent

from runkeel.api.configuration import ObjectKind
from runkeel.errors import ErrorCode, RunkeelError, Verdict
from tests.state.fakes import FakeCluster, FakeStore


def set_deadline(value):
    return lambda spec: {**(spec or {}), "default_deadline_ms": value}


class ConfigurationWriterTest(unittest.TestCase):
    def setUp(self):
        self.store = FakeStore()
        self.cluster = FakeCluster(self.store)
        self.addCleanup(self.cluster.close)
        self.nodes = [self.cluster.add(f"n{index}") for index in range(3)]

    def change(self, value, command_id, node=0, **options):
        options.setdefault("timeout_seconds", 0.5)
        return self.nodes[node].writer.change(
            ObjectKind.SERVICE, "tariff", set_deadline(value), command_id, "ana", **options
        )

    def assert_error(self, code, verdict, *arguments, **options) -> RunkeelError:
        with self.assertRaises(RunkeelError) as caught:
            self.change(*arguments, **options)
        self.assertEqual((caught.exception.code, caught.exception.verdict), (code, verdict))
        return caught.exception

    def stored(self):
        return self.store.objects[("service", "tariff")].content

    def test_accepted_change_reaches_all_nodes_at_once(self):
        self.assertEqual(self.change(100, "c1").generation, 1)
        self.cluster.settle()
        for node in self.nodes:
            self.assertEqual(node.state.get("service", "tariff").command_ids, ("c1",))

    def test_same_command_again_changes_nothing(self):
        self.change(100, "c1")
        self.change(200, "c2")
        outcome = self.change(100, "c1", node=1)
        self.assertEqual((outcome.generation, self.stored().generation), (1, 2))
        self.assertEqual(self.stored().spec, {"default_deadline_ms": 200})

    def test_lost_answer_is_settled_by_the_command_id(self):
        self.store.lose_answers = 1
        self.assertEqual(self.change(100, "c1").generation, 1)
        self.assertEqual(self.stored().generation, 1)

    def test_write_still_on_its_way_lands_once(self):
        self.store.delay_writes = 1
        self.assertEqual(self.change(100, "c1").generation, 1)
        self.store.land_delayed_writes()
        self.assertEqual((self.stored().generation, self.store.revision), (1, 1))

    def test_store_down_before_any_write_is_not_run(self):
        self.store.down = True
        self.assert_error(ErrorCode.STORE_UNAVAILABLE, Verdict.NOT_RUN, 100, "c1")

    def test_store_lost_after_the_write_is_unknown_and_settled_later(self):
        write = self.store.write

        def write_and_go_down(*arguments):
            write(*arguments)
            self.store.down = True
            raise RunkeelError(ErrorCode.STORE_UNAVAILABLE, "answer lost")

        self.store.write = write_and_go_down
        self.assert_error(ErrorCode.STORE_OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN, 100, "c1")
        self.store.down = False
        self.store.write = write
        self.assertEqual(self.nodes[1].writer.outcome_of("c1").generation, 1)
        self.store.down = True
        self.assertEqual(self.nodes[1].writer.outcome_of("c1").generation, 1)
        self.store.down = False
        self.assertIsNone(self.nodes[1].writer.outcome_of("c2"))
        self.assertEqual(self.change(100, "c1").generation, 1)

    def test_racing_conditional_commands_have_one_winner(self):
        self.change(100, "c0")
        errors = []

        def race(index):
            try:
                self.change(200 + index, f"r{index}", index, expected_generation=1)
            except RunkeelError as error:
                errors.append(error)

        gevent.joinall([gevent.spawn(race, index) for index in range(3)], raise_error=True)
        self.assertEqual([error.code for error in errors], [ErrorCode.CONFLICT] * 2)
        self.assertIn("generation 2", errors[0].detail)
        self.assertIn("'ana'", errors[0].detail)

    def test_racing_plain_edits_all_land(self):
        def raise_burst(spec):
            return {**(spec or {}), "max_in_flight": (spec or {}).get("max_in_flight", 1) + 1}

        tasks = [
            gevent.spawn(
                node.writer.change, ObjectKind.SERVICE, "tariff", raise_burst, f"p{index}", "ana"
            )
            for index, node in enumerate(self.nodes)
        ]
        gevent.joinall(tasks, raise_error=True)
        self.assertEqual(self.stored().spec["max_in_flight"], 4)

    def test_bad_spec_names_the_field_and_writes_nothing(self):
        error = self.assert_error(ErrorCode.BAD_CONFIGURATION, Verdict.NOT_RUN, -5, "c1")
        self.assertIn("default_deadline_ms", error.detail)
        self.assertEqual(self.store.objects, {})

    def test_names_and_specs_are_bounded(self):
        writer, long_text = self.nodes[0].writer, "x" * 40_000
        for name, spec in (("", {}), ("a/b", {}), ("e1", {"reason": long_text})):
            with self.subTest(name), self.assertRaises(RunkeelError) as caught:
                writer.change(ObjectKind.DRAIN, name, lambda _, spec=spec: spec, "c1", "ana")
            self.assertEqual(caught.exception.code, ErrorCode.BAD_CONFIGURATION)
        self.assertEqual(self.store.objects, {})

    def test_restored_store_gets_the_newer_content_back_before_a_write(self):
        self.change(100, "c1")
        backup = self.store.backup()
        self.change(200, "c2")
        self.store.restore(backup)
        outcome = self.nodes[2].writer.change(
            ObjectKind.SERVICE, "tariff", lambda spec: {**spec, "max_in_flight": 7}, "c3", "rui"
        )
        self.assertEqual(outcome.generation, 3)
        self.assertEqual(self.stored().spec, {"default_deadline_ms": 200, "max_in_flight": 7})

    def test_write_is_based_on_what_any_peer_holds(self):
        self.change(100, "c1")
        backup = self.store.backup()
        self.cluster.isolated.add("n2")
        self.change(200, "c2")
        self.cluster.settle()
        self.cluster.isolated.clear()
        self.store.restore(backup)
        self.assertEqual(self.change(300, "c3", node=2).generation, 3)

    def test_old_answer_of_the_store_reverts_nothing(self):
        self.change(100, "c1")
        old = self.store.objects[("service", "tariff")]
        self.change(200, "c2")
        self.store.old_reads[("service", "tariff")] = old
        self.assertEqual(self.change(300, "c3").generation, 3)

    def test_delete_and_create_again_go_on_counting(self):
        self.change(100, "c1")
        self.assertEqual(self.change(0, "c2", delete=True).generation, 2)
        self.assert_error(ErrorCode.NOT_FOUND, Verdict.NOT_RUN, 0, "c3", delete=True)
        self.assertEqual(self.change(100, "c4").generation, 3)
        self.assertFalse(self.stored().deleted)

    def test_edit_without_effect_writes_nothing(self):
        self.change(100, "c1")
        outcome = self.change(100, "c2")
        self.assertEqual((outcome.generation, outcome.changed), (1, False))
