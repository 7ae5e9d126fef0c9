#!/bin/sh
# The stand-ins of the cases are plain Python (review/standins.py): nothing is to be built beyond the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || sh deploy/environment.sh .venv
.venv/bin/python -c "import ast, pathlib; [ast.parse(p.read_text()) for p in pathlib.Path('review').rglob('*.py')]"
