#!/bin/sh
# Builds the service below target/service: its libraries, and its own sources with their byte code.
#
# A controller can't write byte code at run time. Without this step every start compiles all sources again, which
# takes a third of its processor time.
set -eu
cd "$(dirname "$0")/.."
service=target/service
[ "$service" -nt requirements.txt ] || python3 -m pip install -q -U --target "$service" -r requirements.txt
rm -rf "$service/passrock"
cp -r src/passrock "$service/"
cp src/passrock/__main__.py "$service/serve.py"
python3 -m compileall -q "$service/passrock" "$service/serve.py"
