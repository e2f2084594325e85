#!/bin/sh
# TROUBLE=0 leaves the disruption out.
TROUBLE="${TROUBLE:-1}" exec python3 "$(dirname "$0")/run.py"
