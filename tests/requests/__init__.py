"""Tests of runkeel.requests."""
