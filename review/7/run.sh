#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || exit 2
PYTHONPATH=.. ../../.venv/bin/python -B case.py &
case_pid=$!
trap 'kill -TERM "$case_pid"' TERM INT  # the script ends what it has started, and then itself
wait "$case_pid"
code=$?
test "$code" -gt 128 && wait "$case_pid" && code=$?
# The interpreter's own 1, for an error that no one caught, says nothing about the rule.
case $code in 0) exit 0 ;; 11) exit 1 ;; *) exit 2 ;; esac
