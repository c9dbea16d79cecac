"""Entry point of ``python -m runkeel_lab``."""

from gevent import monkey

monkey.patch_all()

from runkeel_lab.cli import main  # noqa: E402  (the standard library must be patched first)

if __name__ == "__main__":
    main()
