#!/usr/bin/env bash
# Usage: run-case.sh CASE FOLDER. Plays a case of the stand-ins; its record goes
# to record.txt in FOLDER. Exits with 1 if the rule was broken, 0 if it held and
# 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
standin=$root/target/review/standin
[ -x "$standin" ] || exit 2
[ -x "$root/target/ospreystage" ] || exit 2
"$standin" "$1" "$root" "$2/record.txt" "${TROUBLE:-1}"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
