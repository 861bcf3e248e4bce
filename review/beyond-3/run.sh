#!/usr/bin/env bash
# Plays a script of this folder, by its name: cold or pause. Exits as a case does.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
timeout 110 python3 "$1.py"
status=$?
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
