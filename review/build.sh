#!/bin/sh
# Builds the stand-ins of the scripts, which are Python files without dependencies: compiles them.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m py_compile review/*.py review/[1-5]/*.py
