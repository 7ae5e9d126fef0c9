#!/bin/sh
# deploy/environment.sh FOLDER [EXTRA,EXTRA]: the environment FOLDER with what pyproject.toml declares.
# Made once, and anew whenever the declared or the asked-for extras have changed.
set -eu
cd "$(dirname "$0")/.."
folder=$1 extras=${2:-}
want="$(cksum < pyproject.toml) [$extras]"
test "$(cat "$folder/complete" 2>/dev/null || true)" = "$want" && exit 0
rm -rf "$folder"
python3 -m venv "$folder"
# Without extras the program needs the standard library only, and runs from the tree as it is.
test -z "$extras" || "$folder/bin/pip" -q --disable-pip-version-check install -e ".[$extras]"
printf '%s\n' "$want" > "$folder/complete"
