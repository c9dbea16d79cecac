"""Tests of weight roll-outs."""
