"""Emulated model engine with continuous batching."""

from runkeel_lab.standins.engine.server import Engine

__all__ = ["Engine"]
