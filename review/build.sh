#!/usr/bin/env bash
# Builds the stand-ins of the cases: compiles them, and checks that the deploy file's build has left
# the libraries that they use.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q .
PYTHONPATH=../target/deps:. python3 -c 'import common.world, common.sundarban'
