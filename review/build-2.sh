#!/bin/sh
# Checks what the scripts of review/6 and later start; nothing has to be built: their
# stand-ins are modules of the standard library alone, and the project's own programs
# come from the build of the deploy file.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps/balsamtide ] || { echo "run the build of deploy/system.toml first"; exit 1; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=. python3 -S -c "
import review.standins2.client, review.standins2.fleet, review.standins2.server"
