#!/usr/bin/env bash
# Plays this case; see claim.txt and ../run-case.sh.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../run-case.sh" fatal-request "$here"
