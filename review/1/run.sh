#!/bin/sh
# Exits with 1 if a task started again after it was done, 0 if none did, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
# TROUBLE=0 leaves out the disruption; test.py reads it.
TROUBLE="${TROUBLE:-1}" exec python3 test.py
