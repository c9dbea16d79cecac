"""Tests of this part."""
