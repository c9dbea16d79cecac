"""Checks that a fuzzer finds a seeded fault, whatever other modules are loaded.

Hypothesis draws some values from constants of loaded project modules, so the examples of one seed
depend on which other tests are loaded. Several seeds are tried in a fixed order.
"""

from __future__ import annotations

from hypothesis import seed, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

SEED_COUNT = 12


def find_violation(
    machine_class: type[RuleBasedStateMachine], options: settings
) -> BaseException | None:
    """Run with successive seeds; return the first assertion violation, or None."""
    for number in range(SEED_COUNT):
        seeded = seed(number)(type(machine_class.__name__, (machine_class,), {}))
        try:
            run_state_machine_as_test(seeded, settings=options)
        except AssertionError as violation:
            return violation
        except BaseExceptionGroup as violations:
            _, others = violations.split(AssertionError)
            if others is not None:
                raise
            return violations
    return None
