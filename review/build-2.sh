#!/bin/sh
# The stand-ins of the second review are Python programs without packages, as `lab.py` of the first
# one is, which they use. There is nothing to compile; what can't be parsed fails here.
set -e
cd "$(dirname "$0")"
python3 -c 'import ast, pathlib
for path in [pathlib.Path("lab.py"), *pathlib.Path("4").rglob("*.py")]:
    ast.parse(path.read_text("utf-8"))'
