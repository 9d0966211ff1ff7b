#!/usr/bin/env bash
# Every check: style, types, and a pytest for each file of tests, several beside each other.  Three parts, one after
# the other, so that no test's port is taken by another part and no test sees another's processes:
#   1. the lab's doors that break rules, which free a port before a process takes it; beside them what opens no port on
#      127.0.0.1 (pure tests, and doors on addresses of their own);
#   2. all other files, so each new one: their tests hold each port from its choice on, and may run beside any such;
#   3. alone, one by one: tests that free a port first, or that look at all processes of the machine.
set -euo pipefail
cd "$(dirname "$0")/.."
rules="test_each_rule_reports_the_door_that_breaks_it_and_no_other_rule_does"
portless="codec deadlines table_log behaviour_digests golden_control golden_edges soak list_reader_role unreachable_nodes control_processes control_model dissemination control acceptor processes loss_schedules scenarios disaster_recovery role_leases gateway known_red lab project wire replica_store_crash request_router recovery_command upstream_servers recovery_processes replica_store"
alone="lab_play start upgrade"

logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT
export logs

check() {  # a name, and a command: its time and last line are told, and all that it said where it fails
    local began=$EPOCHREALTIME state=0
    "${@:2}" > "$logs/$1" 2>&1 || state=$?
    [ "$state" = 0 ] || cat "$logs/$1"
    awk -v name="$1" -v from="$began" -v to="$EPOCHREALTIME" -v state="$state" '{ last = $0 }
        END { printf "%5.1f s  %-22s %s%s\n", to - from, name, state ? "FAILED: " : "", last }' "$logs/$1"
    return "$state"
}
export -f check

beside() {  # how many at once, and files: a pytest for each, the largest file first
    local most=$1
    shift
    # shellcheck disable=SC2012  # names of tests hold no blanks
    ls -S "$@" | xargs -P "$most" -I{} bash -c 'check "$(basename {} .py)" pytest -p no:cacheprovider {}'
}

check ruff ruff check .
check format ruff format --check .

quiet=() single=() rest=()
for name in $portless; do [ ! -e "tests/test_$name.py" ] || quiet+=("tests/test_$name.py"); done
for name in $alone; do single+=("tests/test_$name.py"); done
for file in tests/test_*.py; do
    [[ " ${quiet[*]} ${single[*]} " == *" $file "* ]] || rest+=("$file")
done

failed=0
check mypy mypy & types=$!
beside 3 "${quiet[@]}" & pure=$!
check rules pytest -p no:cacheprovider "tests/test_lab_play.py::$rules" || failed=1
beside 5 "${rest[@]}" || failed=1
check alone pytest -p no:cacheprovider "${single[@]}" --deselect "tests/test_lab_play.py::$rules" || failed=1
wait "$types" || failed=1
wait "$pure" || failed=1
grep -rhs "^known red: " "$logs" || true
[ "$failed" = 0 ] && echo "all checks passed" || echo "a check failed"
exit "$failed"
