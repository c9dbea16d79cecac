"""Tests of the platform adapter and of nodes on the stand-in platform."""
