"""A quarantine of one node by itself, for tests of what it guards."""

from runkeel.quarantine.quarantine import Quarantine
from runkeel.quarantine.trials import TrialAnswer

RETRY_SECONDS = 7.0
"""What a request that is held back is told where no trial is granted."""


def open_quarantine(ask_trial=lambda record: TrialAnswer(False, RETRY_SECONDS)):
    return Quarantine(b"test", ask_trial)
