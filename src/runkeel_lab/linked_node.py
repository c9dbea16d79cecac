"""Program: a runkeel node whose links to other zones follow a lab rules file.

``python -m runkeel_lab.linked_node --settings FILE --links RULES.json``
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
from pathlib import Path  # noqa: E402

from runkeel.program import run_node  # noqa: E402
from runkeel.settings import load_settings  # noqa: E402
from runkeel_lab.links import FileLinkPolicy  # noqa: E402


def main() -> int:
    """Run the node until it is stopped; return its exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--settings", type=Path, required=True)
    parser.add_argument("--links", type=Path, required=True)
    arguments = parser.parse_args()
    settings = load_settings(arguments.settings)
    policy = FileLinkPolicy(settings.node.zone, arguments.links)
    return run_node(settings, link_policy=policy)


if __name__ == "__main__":
    raise SystemExit(main())
