#!/usr/bin/env bash
# Builds and runs every test. A test listed in KNOWN-RED.txt may fail; it is run, printed, and named.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh build >/dev/null
. scripts/known-red.sh
if [ ${#known[@]} -gt 0 ]; then
    echo "known red, allowed to fail:"
    grep -v '^#' KNOWN-RED.txt
    ctest --test-dir build --output-on-failure -R "$known_pattern" || true
fi
# As many at once as under the sanitizers, where they take several times as long.
ctest --test-dir build --output-on-failure -j 8 -L unit -E "$known_pattern"
# Each starts many processes that mostly wait. free_port.h keeps the ports of test programs apart.
ctest --test-dir build --output-on-failure -j 4 -L process -E "$known_pattern"
