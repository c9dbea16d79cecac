"""Tests of runkeel."""

from gevent import monkey

monkey.patch_all()

from loguru import logger  # noqa: E402  (the standard library must be patched first)

logger.remove()
