#!/bin/sh
# Runs the case once; TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:review exec python3 "review/$(basename "$(dirname "$0")")/case.py"
