"""Tests of runkeel_lab."""
