#!/usr/bin/env bash
# Exits with 1 if the rule is broken, 0 if it holds, 2 if the case cannot run.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
timeout 110 python3 case.py
status=$?
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
