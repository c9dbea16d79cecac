"""Tests of runkeel.backends."""
