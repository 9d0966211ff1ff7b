#!/bin/bash
# Builds what the cases 4 to 8 start beside the system itself.  Their stand-ins need the standard library alone, so
# this only checks that they can be compiled, and that the build of the deploy file has been run.
set -e
cd "$(dirname "$0")"
python3 - <<'P'
import pathlib, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in [*pathlib.Path("common_2").glob("*.py"), *pathlib.Path(".").glob("[4-8]/*.py")]:
    compile(path.read_text(), str(path), "exec")
if not pathlib.Path("../target/deps").is_dir():
    sys.exit("run the build of deploy/system.toml first")
P
