"""Stand-in of the users' platform: its store, its servers, and whole deployments of nodes.

Everything runs in one process on loopback, on ephemeral ports.
"""

from __future__ import annotations

import sys
from pathlib import Path

ADAPTER_FOLDER = Path(__file__).resolve().parents[3] / "platform"


def use_adapter() -> None:
    """Add the platform adapter to ``sys.path``."""
    if str(ADAPTER_FOLDER) not in sys.path:
        sys.path.insert(0, str(ADAPTER_FOLDER))
