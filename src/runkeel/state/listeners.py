"""Calls of listeners that must not keep a change from being applied and spread."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from loguru import logger

from runkeel.state import metrics


def notify(listeners: Iterable[Callable[..., None]], *arguments: Any) -> None:
    """Call each listener; one that raises is counted and logged, and the next is called."""
    for listener in tuple(listeners):
        try:
            listener(*arguments)
        except Exception:
            metrics.LISTENER_FAILURES.inc()
            logger.exception("a listener of the state failed", code="listener_failed")
