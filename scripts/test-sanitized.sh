#!/usr/bin/env bash
# All unit tests under the address and undefined-behaviour sanitizers, and the tests of rings and kernel
# under the thread sanitizer. The first argument limits it: "build" only builds both, "address" and
# "thread" run the one or the other.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/known-red.sh
part=${1:-all}
unit_targets=(support_tests settings_tests core_tests wire_tests node_tests http_tests fleet_tests gateway_tests platform_tests)
build_targets() {
    local folder=$1 sanitizers=$2
    shift 2
    # Lines and functions are all that a sanitizer's report shows of the debug information.
    cmake -S . -B "$folder" -G Ninja -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS="-O1" -DCMAKE_CXX_FLAGS_DEBUG="-g1" -DFUCHSIALOOM_SANITIZE="$sanitizers" >/dev/null
    cmake --build "$folder" --target "$@"
}
if [ "$part" != thread ]; then
    build_targets build-address address,undefined "${unit_targets[@]}"
fi
if [ "$part" != address ]; then
    build_targets build-thread thread support_tests node_tests
fi
if [ "$part" = all ] || [ "$part" = address ]; then
    # scripts/test.sh runs and prints the tests that are known to be red.
    ctest --test-dir build-address --output-on-failure -j 8 -L unit -E "$known_pattern"
fi
if [ "$part" = all ] || [ "$part" = thread ]; then
    ctest --test-dir build-thread --output-on-failure -j 8 -L unit -R 'bounded_ring|kernel'
fi
