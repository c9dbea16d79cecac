"""Tests of settings, logs and the HTTP face."""
