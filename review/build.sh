#!/bin/sh
# The stand-ins of the review are Python programs without packages, so there is nothing to compile.
set -e
cd "$(dirname "$0")"
python3 -c 'import ast, pathlib
for path in pathlib.Path(".").rglob("*.py"):
    ast.parse(path.read_text("utf-8"))'
