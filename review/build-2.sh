#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 8: compiles them against the libraries of the deploy build.
set -euo pipefail
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
deps="$here/../target/deps"
if [ ! -d "$deps" ]; then
    echo "target/deps is missing: run the build of the deploy file first" >&2
    exit 2
fi
python3 -m compileall -q "$here/kit2"
PYTHONPATH="$deps:$here/kit2" python3 -c "import world"
