#!/usr/bin/env bash
# Plays this case; see claim.txt. What is sent, answered and run goes to
# record.txt in this folder. Exits with 1 if the rule was broken, 0 if it held
# and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
echo "case store-drill, TROUBLE=${TROUBLE:-1}" >"$here/record.txt" || exit 2
exec "$here/../run-case.sh" store-drill "$here/record.txt"
