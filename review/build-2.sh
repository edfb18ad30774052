#!/bin/sh
# The stand-ins of review/6 to review/10 are Python files that need no build and use the
# standard library only. The check shows whether this Python can read them.
cd "$(dirname "$0")" || exit 2
python3 - <<'CHECK'
import ast
import pathlib

for path in [*pathlib.Path("common-2").glob("*.py"), *pathlib.Path().glob("[0-9]*/case.py")]:
    ast.parse(path.read_text(), str(path))
CHECK
