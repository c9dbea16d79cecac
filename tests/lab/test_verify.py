"""The verifiers find each kind of violation, and nothing in a good run."""

import json
import tempfile
import unittest
from pathlib import Path

from runkeel_lab.experiment import FaultKind, FaultSpec, TrainerSpec
from runkeel_lab.faults import FaultRecord
from runkeel_lab.journals import Execution, JournalEvent, Journals
from runkeel_lab.load.records import Attempt, CallRecord, Outcome
from runkeel_lab.standins.scorer import expected_score
from runkeel_lab.tokens import VersionRange, token_at
from runkeel_lab.trainer import Trainer
from runkeel_lab.trainer_client import SampleRecord, StepRecord, Task
from runkeel_lab.verify_callers import CallerVerifier
from runkeel_lab.verify_control import verify_control
from runkeel_lab.verify_samples import verify_trainer
from runkeel_lab.violations import ViolationKind

PROMPT = "rice [stop=2]"


def call(outcome: Outcome, repeatable: bool = True, **attempt: object) -> CallRecord:
    record = CallRecord("stock", "lookup", "ledger", "n1", "", repeatable, 10.0)
    record.attempts = [Attempt("node-1", 10.0, 10.5, **attempt)]
    record.outcome = outcome
    return record


def run(request_id: str = "r1", nonce: str = "n1", finished: float = 10.2) -> Execution:
    return Execution("ledger-1", request_id, nonce, 10.1, finished)


class CallerVerifierTest(unittest.TestCase):
    def _kinds(self, record: CallRecord, *runs: Execution) -> list[ViolationKind]:
        return [violation.kind for violation in CallerVerifier(runs).verify([record])]

    def test_a_good_call_has_none(self):
        self.assertEqual(self._kinds(call(Outcome.ANSWERED, status=200), run()), [])

    def test_an_answer_without_a_run(self):
        self.assertEqual(self._kinds(call(Outcome.ANSWERED, status=200)), [ViolationKind.NEVER_RAN])
        unfinished = run(finished=0.0)
        self.assertEqual(
            self._kinds(call(Outcome.ANSWERED, status=200), unfinished), [ViolationKind.NEVER_RAN]
        )

    def test_doubled_only_where_it_may_not_repeat(self):
        runs = (run(), run("r2"))
        self.assertEqual(self._kinds(call(Outcome.ANSWERED, repeatable=True), *runs), [])
        self.assertEqual(
            self._kinds(call(Outcome.ANSWERED, repeatable=False), *runs), [ViolationKind.DOUBLED]
        )

    def test_false_not_run_by_request_id_and_by_nonce(self):
        told = call(Outcome.NOT_RUN, verdict="not_run", request_id="r1")
        self.assertEqual(self._kinds(told), [])
        self.assertEqual(self._kinds(told, run("r1")), [ViolationKind.FALSE_NOT_RUN])
        self.assertEqual(self._kinds(told, run("other")), [ViolationKind.FALSE_NOT_RUN])

    def test_not_run_of_one_attempt_beside_an_answer_of_another(self):
        record = call(Outcome.ANSWERED, verdict="not_run", request_id="r0", status=503)
        record.attempts.append(Attempt("node-2", 10.6, 10.9, 200, request_id="r1"))
        during_the_second = Execution("ledger-1", "r1", "n1", 10.7, 10.8)
        self.assertEqual(self._kinds(record, during_the_second), [])

    def test_a_run_while_only_an_attempt_told_not_run_was_under_way(self):
        record = call(Outcome.ANSWERED, verdict="not_run", status=503)
        record.attempts.append(Attempt("node-2", 10.6, 10.9, 200, request_id="r2"))
        early = Execution("ledger-1", "r1", "n1", 10.1, 10.2)
        late = Execution("ledger-1", "r2", "n1", 10.7, 10.8)
        self.assertEqual(self._kinds(record, late), [])
        self.assertEqual(self._kinds(record, early, late), [ViolationKind.FALSE_NOT_RUN])

    def test_a_run_that_may_be_an_earlier_attempts(self):
        record = call(Outcome.MAY_HAVE_RUN, verdict="may_have_run", status=504)
        record.attempts.append(Attempt("node-2", 10.6, 10.9, 503, verdict="not_run"))
        self.assertEqual(self._kinds(record, Execution("ledger-1", "r1", "n1", 10.7, 10.8)), [])

    def test_a_configured_service_that_a_node_does_not_know(self):
        record = call(Outcome.NOT_RUN, code="unknown_service", verdict="not_run", status=404)
        found = CallerVerifier([], ["ledger"]).verify([record])
        self.assertEqual([each.kind for each in found], [ViolationKind.CONFIGURATION_MISSING])
        self.assertEqual(CallerVerifier([], ["other"]).verify([record]), [])

    def test_lost_crossed_and_incomplete(self):
        self.assertEqual(self._kinds(call(Outcome.LOST)), [ViolationKind.LOST])
        record = call(Outcome.ANSWERED)
        record.crossed = record.incomplete = record.wrong_tokens = True
        self.assertEqual(
            self._kinds(record, run()),
            [ViolationKind.CROSSED, ViolationKind.INCOMPLETE, ViolationKind.WRONG_TOKENS],
        )


def sample(task_id: str = "t1", version: int = 1, claimed: int = 1, at: int = 1) -> SampleRecord:
    tokens = tuple(token_at("m", version, PROMPT, position) for position in range(2))
    score = expected_score(PROMPT, tokens)
    return SampleRecord("s", 0, task_id, tokens, (VersionRange(claimed, 0, 2),), score, at, 1.0)


class SampleVerifierTest(unittest.TestCase):
    def _kinds(self, *samples: SampleRecord, bound: int = 1) -> list[ViolationKind]:
        trainer = Trainer(TrainerSpec(name="t", model="m"), [None], lambda *_: None, 1)
        step = StepRecord("s", (Task("t1", "g", PROMPT, 9),))
        step.samples = list(samples)
        trainer.steps = [step]
        return [each.kind for each in verify_trainer(trainer, lambda _: bound).violations]

    def test_a_good_step_has_none(self):
        self.assertEqual(self._kinds(sample()), [])

    def test_missing_and_duplicated(self):
        self.assertEqual(self._kinds(), [ViolationKind.SAMPLE_MISSING])
        self.assertEqual(self._kinds(sample(), sample()), [ViolationKind.SAMPLE_DUPLICATED])

    def test_foreign(self):
        kinds = self._kinds(sample(), sample("other"))
        self.assertEqual(kinds, [ViolationKind.SAMPLE_FOREIGN])

    def test_wrong_version(self):
        kinds = self._kinds(sample(version=1, claimed=2, at=2))
        self.assertEqual(kinds, [ViolationKind.SAMPLE_WRONG_VERSION])

    def test_too_stale_against_the_stated_version(self):
        self.assertEqual(self._kinds(sample(at=2)), [])
        self.assertEqual(self._kinds(sample(at=3)), [ViolationKind.SAMPLE_TOO_STALE])

    def test_an_unfinished_step_lacks_its_samples(self):
        trainer = Trainer(TrainerSpec(name="t", model="m"), [None], lambda *_: None, 1)
        trainer.unfinished = [StepRecord("s", (Task("t1", "g", PROMPT, 9),))]
        found = verify_trainer(trainer, lambda _: 0).violations
        self.assertEqual([each.kind for each in found], [ViolationKind.SAMPLE_MISSING])


class ControlVerifierTest(unittest.TestCase):
    def _drain(self, *received: float, undone: float = 0.0) -> list[ViolationKind]:
        spec = FaultSpec(at=0, kind=FaultKind.DRAIN, target="ledger-1")
        events = [JournalEvent(at, "ledger-1", "received", {}) for at in received]
        fault = FaultRecord(spec, began=9.9, effective=10.0, undone=undone)
        return [each.kind for each in verify_control([fault], Journals(events), []).violations]

    def test_new_work_within_and_past_the_bound(self):
        self.assertEqual(self._drain(9.0, 10.9), [])
        self.assertEqual(self._drain(11.1), [ViolationKind.NEW_WORK_TO_LEAVING])
        self.assertEqual(self._drain(15.0, undone=14.0), [])

    def test_the_lists_bound_counts_from_what_it_shows(self):
        spec = FaultSpec(at=0, kind=FaultKind.LIST_LEAVING, target="ledger-1")
        shown = JournalEvent(12.0, "machine-list", "machine_shown", {"machine": "ledger-1"})
        late = JournalEvent(15.1, "ledger-1", "received", {})
        fault = FaultRecord(spec, began=10.0, effective=10.0)
        self.assertEqual(verify_control([fault], Journals([shown]), []).violations, [])
        found = verify_control([fault], Journals([shown, late]), []).violations
        self.assertEqual([each.kind for each in found], [ViolationKind.NEW_WORK_TO_LEAVING])

    def test_a_planned_stop_that_cuts(self):
        spec = FaultSpec(at=0, kind=FaultKind.PLANNED_STOP, target="node-1")
        fault = FaultRecord(spec, began=10.2)
        cut = call(Outcome.LOST, error="reset")
        found = verify_control([fault], Journals([]), [cut])
        self.assertEqual(found.in_flight_cut, 1)
        answered = call(Outcome.ANSWERED, status=200)
        self.assertEqual(verify_control([fault], Journals([]), [answered]).in_flight_cut, 0)

    def test_a_fault_that_was_not_done_is_a_violation(self):
        spec = FaultSpec(at=0, kind=FaultKind.KILL, target="nobody")
        found = verify_control([FaultRecord(spec, 1.0, error="KeyError")], Journals([]), [])
        self.assertEqual([each.kind for each in found.violations], [ViolationKind.FAULT_NOT_DONE])


class JournalsTest(unittest.TestCase):
    def test_runs_are_paired_and_a_torn_last_line_is_left_out(self):
        def line(at: float, event: str, request_id: str) -> str:
            fields = {"t": at, "standin": "ledger-1", "event": event, "request_id": request_id}
            return json.dumps({**fields, "key": "", "path": "/lookup/n1"}) + "\n"

        with tempfile.TemporaryDirectory() as folder:
            text = line(1, "started", "a") + line(2, "started", "b") + line(3, "finished", "a")
            (Path(folder) / "ledger-1.jsonl").write_text(text + line(4, "finished", "b")[:-9])
            runs = Journals.read(Path(folder)).executions(["ledger-1"])
        self.assertEqual(
            [(run.request_id, run.nonce, run.finished) for run in runs],
            [("a", "n1", 3), ("b", "n1", 0.0)],
        )
