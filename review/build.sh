#!/usr/bin/env bash
# Prepares the stand-ins that the cases start. All of them are Python, those of
# review/common and the project's own in testing/fleet and testing/soak: there
# is nothing to compile, so this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PYTHON'
import ast
import pathlib

for folder in ("testing/fleet", "testing/soak", "review"):
    for path in pathlib.Path(folder).rglob("*.py"):
        ast.parse(path.read_text())
print("stand-ins: ready")
PYTHON
