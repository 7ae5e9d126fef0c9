#!/bin/sh
# Builds what the scripts of review/6 to review/10 start besides the gatekeeper: run it from anywhere, after the
# build of the deploy file. The stand-ins (review/lib2) need the standard library only, so that nothing is compiled
# or installed: they are loaded once with the interpreter that the scripts use.
set -eu
cd "$(dirname "$0")"
PYTHONPATH=. ../.venv/bin/python -B -c "import lib2.standins"
