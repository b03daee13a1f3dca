#!/usr/bin/env bash
# Builds and runs every test. A test listed in KNOWN-RED.txt may fail; it is run, printed, and named.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh build >/dev/null
known=()
if [ -s KNOWN-RED.txt ]; then
    mapfile -t known < <(grep -v '^#' KNOWN-RED.txt | cut -d' ' -f1 | grep -v '^$' || true)
fi
pattern='^$'
if [ ${#known[@]} -gt 0 ]; then
    # A parameterized test has its parameter's text behind its name.
    pattern="^($(IFS='|'; echo "${known[*]}"))( |\$)"
    echo "known red, allowed to fail:"
    grep -v '^#' KNOWN-RED.txt
    ctest --test-dir build --output-on-failure -R "$pattern" || true
fi
# As many at once as under the sanitizers, where they take several times as long.
ctest --test-dir build --output-on-failure -j 8 -L unit -E "$pattern"
# Each starts many processes that mostly wait. free_port.h keeps the ports of test programs apart.
ctest --test-dir build --output-on-failure -j 4 -L process -E "$pattern"
