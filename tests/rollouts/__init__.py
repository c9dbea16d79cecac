"""Tests of the rollout service."""
