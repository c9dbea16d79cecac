"""A quarantine without peers, for tests of code that uses one."""

from runkeel.quarantine.quarantine import Quarantine
from runkeel.quarantine.trials import TrialAnswer

RETRY_SECONDS = 7.0
"""Retry delay reported for a denied trial."""


def standalone_quarantine(ask_trial=lambda record: TrialAnswer(False, RETRY_SECONDS)):
    return Quarantine(b"test", ask_trial)
