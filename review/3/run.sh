#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
python3 case.py &
case=$!
trap 'kill -TERM "$case" 2>/dev/null' TERM INT
wait "$case"
code=$?
while kill -0 "$case" 2>/dev/null; do
  wait "$case"
  code=$?
done
rm -rf "$CASE_TMP"
exit "$code"
