#!/bin/sh
# Checks the stand-ins of the review; they are Python programs of the standard library only.
set -eu
cd "$(dirname "$0")"
exec python3 -c '
import ast, pathlib, sys, tomllib

assert sys.version_info >= (3, 11)
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
'
