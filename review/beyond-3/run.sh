#!/usr/bin/env bash
# Plays a script of this folder by its name: cold or pause. TROUBLE=0 leaves the disruption out. Exits with
# 1 if the rule was broken, 0 if it held and 2 if the case could not run. What
# was sent, answered and run goes to record.txt in this folder.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
export PYTHONDONTWRITEBYTECODE=1
timeout --kill-after=5 110 python3 "$1.py" &
child=$!
# Ended from outside, the script ends what it has started.
trap 'kill -TERM "$child" 2>/dev/null; wait "$child"; exit 2' TERM INT HUP
wait "$child"
case $? in 0) exit 0 ;; 10) exit 1 ;; *) exit 2 ;; esac
