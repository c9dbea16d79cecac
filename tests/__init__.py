"""Tests of runkeel."""

from gevent import monkey

monkey.patch_all()
