"""Runs the command line: ``python -m runkeel``."""

from gevent import monkey

monkey.patch_all()

from runkeel.cli import main  # noqa: E402  (gevent must patch the standard library first)

if __name__ == "__main__":
    main()
