#!/usr/bin/env bash
# Every check: style, types, tests.  Types and the tests without sockets run beside the others, which choose ports.
set -euo pipefail
cd "$(dirname "$0")/.."
ruff check .
ruff format --check .
quiet="scenarios duties word_property forage comb_store comb_crash servers gateway wire lab"
paths=() ignored=()
for name in $quiet; do
    paths+=("tests/test_$name.py") ignored+=(--ignore "tests/test_$name.py")
done
(mypy && pytest -p no:cacheprovider "${paths[@]}") > .beside.log 2>&1 & beside=$!
rest=0
pytest "${ignored[@]}" || rest=$?
wait "$beside" || { cat .beside.log; exit 1; }
cat .beside.log
exit "$rest"
