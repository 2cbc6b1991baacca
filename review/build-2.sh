#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy
# file. They are Python programs that need no compiler: this checks that they
# and the project's own (testing/fleet) can be read.
cd "$(dirname "$0")/.." || exit 1
python3 - <<'END'
import ast
import pathlib
import sys
if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or later is needed")
folders = ["testing/fleet", "testing/soak", "review/common-2"]
folders += [str(p) for p in pathlib.Path("review").iterdir()
            if p.name.isdigit() and 6 <= int(p.name) <= 10]
for folder in folders:
    for path in sorted(pathlib.Path(folder).glob("*.py")):
        ast.parse(path.read_text(), str(path))
        print("read", path)
END
