"""Typed messages, configuration and interfaces; no I/O."""
