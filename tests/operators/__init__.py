"""Tests of the operators' language, queries and commands."""
