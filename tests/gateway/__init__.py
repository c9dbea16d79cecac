"""Tests of runkeel.gateway."""
