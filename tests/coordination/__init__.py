"""Tests of the election, the document feed, the order lease and weight rollouts."""
