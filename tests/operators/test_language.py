"""Parsing of statements, errors in them, and completion."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from runkeel.api.configuration import ObjectKind
from runkeel.errors import ErrorCode, RunkeelError
from runkeel.operators.language import expected_keywords, parse_statement
from runkeel.operators.statements import Change, ChangeMode, ShowCommand, ShowQuery


class LanguageTest(unittest.TestCase):
    def test_query(self):
        query = parse_statement(
            'show backends where zone = "hobart-a" and version < 12 order by age_ms desc limit 5'
        )
        self.assertIsInstance(query, ShowQuery)
        conditions = [(c.field.text, str(c.comparison), c.value.text) for c in query.conditions]
        self.assertEqual([("zone", "=", "hobart-a"), ("version", "<", "12")], conditions)
        self.assertEqual(("age_ms", True, 5), (query.order_by.text, query.descending, query.limit))

    def test_show_rollout_and_show_command(self):
        rollout = parse_statement("show rollout allocation")
        self.assertEqual("rollouts", rollout.resource.text)
        self.assertEqual("allocation", rollout.conditions[0].value.text)
        self.assertEqual(ShowCommand("c-1"), parse_statement("show command c-1"))

    def test_commands(self):
        cases = {
            "deploy model m version 42 adapter a if generation 3 --dry-run": Change(
                "deploy", ObjectKind.MODEL, "m", ChangeMode.UPDATE,
                (("target_version", 42), ("adapter", "a")), 3, True,
            ),
            'drain backend x reason "disk, slow"': Change(
                "drain", ObjectKind.DRAIN, "x", ChangeMode.REPLACE,
                (("reason", "disk, slow"), ("stop", False)),
            ),
            "undrain node n": Change("undrain", ObjectKind.DRAIN, "n", ChangeMode.DELETE),
            "set service tariff deadline 0.2s, retry_budget 30%, repeatable no": Change(
                "set", ObjectKind.SERVICE, "tariff", ChangeMode.UPDATE,
                (("default_deadline_ms", 200), ("retry_budget", 0.3), ("repeatable", False)),
            ),
            "set model m max_staleness_seconds 2m, prefer staleness": Change(
                "set", ObjectKind.MODEL, "m", ChangeMode.UPDATE,
                (("max_staleness_seconds", 120.0), ("prefer", "staleness")),
            ),
            "set engine e role rollout": Change(
                "set", ObjectKind.ENGINE_ROLE, "e", ChangeMode.UPSERT, (("role", "rollout"),)
            ),
            "create operator if role read, salt role": Change(
                "create", ObjectKind.OPERATOR, "if", ChangeMode.CREATE,
                (("role", "read"), ("salt", "role")),
            ),
            "set model m version 3": Change(
                "set", ObjectKind.MODEL, "m", ChangeMode.UPDATE, (("target_version", 3),)
            ),
            "create model model": Change("create", ObjectKind.MODEL, "model", ChangeMode.CREATE),
            "delete priority_class p": Change(
                "delete", ObjectKind.PRIORITY_CLASS, "p", ChangeMode.DELETE
            ),
        }  # fmt: skip
        for text, expected in cases.items():
            with self.subTest(text):
                self.assertEqual(expected, parse_statement(text))

    def test_errors_locate_the_word_and_suggest_a_correction(self):
        cases = {
            "depoy model m version 1": (1, 'did you mean "deploy"'),
            "deploy model m versoin 1": (16, 'did you mean "version"'),
            "deploy model m version x1": (24, "whole number"),
            "deploy model m": (15, "expected one of: version"),
            "drain bakend x": (7, 'did you mean "backend"'),
            "set servce t deadline 1s": (5, 'did you mean "service"'),
            "set service t dedline 1s": (15, 'did you mean "default_deadline_ms"'),
            "set service t deadline 3%": (24, "takes no unit"),
            "set service t deadline 0.1ms": (24, "whole number"),
            "set engine e role sreve": (19, 'did you mean "serve"'),
            "set model m prefer idletime": (20, 'did you mean "idle_time"'),
            "create record_group g epoch 2": (8, "unknown kind"),
            "show nodes limit few": (18, "whole number"),
            "show nodes where a ! 3": (20, "unexpected"),
            "": (1, "not complete"),
        }
        for text, (column, hint) in cases.items():
            with self.subTest(text), self.assertRaises(RunkeelError) as caught:
                parse_statement(text)
            error = caught.exception
            self.assertEqual(ErrorCode.BAD_COMMAND, error.code)
            self.assertIn(f"column {column}:", error.detail)
            self.assertIn(hint, error.detail)
            caret_line = error.detail.splitlines()[-1]
            self.assertEqual(column - 1 + 2, caret_line.index("^"))

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        st.lists(
            st.sampled_from(
                ["show", "deploy", "set", "model", "service", "m", "version", "1", "where", "=",
                 "if", "generation", "--dry-run", '"q', '"q"', ",", "deadline", "5ms", "é", "\n"]
            ),
            max_size=9,
        )
    )  # fmt: skip
    def test_any_text_is_parsed_or_raises_bad_command(self, words):
        try:
            parse_statement(" ".join(words))
        except RunkeelError as error:
            self.assertEqual(ErrorCode.BAD_COMMAND, error.code)

    def test_completion_offers_the_next_keywords(self):
        self.assertIn("deploy", expected_keywords(""))
        self.assertEqual(("version",), expected_keywords("deploy model m "))
        self.assertIn("--dry-run", expected_keywords("deploy model m version 2 "))


if __name__ == "__main__":
    unittest.main()
