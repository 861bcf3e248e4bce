#!/usr/bin/env bash
# Usage: run-case.sh CASE RECORD. Plays a case of the stand-ins and appends to
# the file RECORD what was sent, answered and run. Exits with 1 if the rule was
# broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves out the
# disruption. Whatever ends this script ends all that it has started.
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
standin=$root/target/review/standin
case=$1
record=$2
for program in "$standin" "$root/target/ospreystage"; do
    if [ ! -x "$program" ]; then
        echo "could not run: ${program#"$root"/} is not built" >>"$record"
        exit 2
    fi
done
folder=$(mktemp -d) || exit 2
pid=
# The processes of the system end with the stand-in.
# shellcheck disable=SC2317 # Called by the trap.
end_all() {
    [ -n "$pid" ] && kill -KILL "$pid" 2>/dev/null
    wait 2>/dev/null
    rm -rf "$folder"
}
trap end_all EXIT
trap 'exit 2' HUP INT TERM
TMPDIR=$folder "$standin" "$case" "$root" "$record" "${TROUBLE:-1}" &
pid=$!
wait "$pid"
status=$?
pid=
if [ "$status" -gt 1 ]; then
    echo "could not run: the stand-in ended with status $status" >>"$record"
    status=2
fi
exit "$status"
