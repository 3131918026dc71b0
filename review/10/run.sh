#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec env BGAP_BIN="$PWD/target/bin" python3 -B review/10/case.py
