"""Tests of document copies, errors, logs, the command lines and the test runner."""
