#!/bin/sh
# Builds the stand-ins of the cases below target/review: the project's own from tests/standins, and review/harness.py.
# Run it after the build command of deploy/service.toml, whose libraries the stand-ins use. It needs no network.
set -eu
cd "$(dirname "$0")/.."
out=target/review
rm -rf "$out"
mkdir -p "$out"
cp -r tests/standins "$out/"
cp review/harness.py "$out/"
rm -rf "$out/standins/__pycache__"
python3 -m compileall -q "$out"
PYTHONPATH="$out:target/service" python3 -c "import harness"
