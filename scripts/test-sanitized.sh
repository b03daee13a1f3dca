#!/usr/bin/env bash
# All unit tests under the address and undefined-behaviour sanitizers, then the tests of rings and
# kernel under the thread sanitizer.
set -euo pipefail
cd "$(dirname "$0")/.."
unit_targets=(support_tests settings_tests core_tests wire_tests node_tests http_tests fleet_tests gateway_tests platform_tests)
build_targets() {
    local folder=$1 sanitizers=$2
    shift 2
    cmake -S . -B "$folder" -G Ninja -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS="-O1" -DFUCHSIALOOM_SANITIZE="$sanitizers" >/dev/null
    cmake --build "$folder" --target "$@" >/dev/null
}
build_targets build-address address,undefined "${unit_targets[@]}"
ctest --test-dir build-address --output-on-failure -j 8 -L unit
build_targets build-thread thread support_tests node_tests
ctest --test-dir build-thread --output-on-failure -j 8 -L unit -R 'bounded_ring|kernel'
