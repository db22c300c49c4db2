#!/bin/sh
# Builds the service in target/service: the libraries, and the sources with their byte code.
#
# A controller cannot write byte code at run time. Without precompiled byte code each start would compile all sources,
# which is a third of the CPU time of a start.
set -eu
cd "$(dirname "$0")/.."
service=target/service
[ "$service" -nt requirements.txt ] || python3 -m pip install -q -U --target "$service" -r requirements.txt
rm -rf "$service/passrock"
cp -r src/passrock "$service/"
cp src/passrock/__main__.py "$service/serve.py"
python3 -m compileall -q "$service/passrock" "$service/serve.py"
