#!/usr/bin/env bash
# Builds the programs of the cases 6 and later into target/review-2, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
includes=()
archives=(target/platform/libfuchsialoom_platform.a)
for package in gateway fleet http core settings support; do
    includes+=("-Ipackages/$package/include")
    archives+=("target/packages/$package/libfuchsialoom_$package.a")
done
flags=(-std=c++20 -O1 -Wall -Wextra -DASIO_STANDALONE -Iplatform/include -Iplatform/standins "${includes[@]}")

jobs=()
in_background() {
    "$@" &
    jobs+=($!)
}
await_jobs() {
    for job in "${jobs[@]}"; do
        wait "$job"
    done
    jobs=()
}

objects=()
for source in platform/standins/fake_store.cpp review/stand-ins-2/scene.cpp; do
    objects+=("target/review-2/$(basename "$source" .cpp).o")
    in_background g++ "${flags[@]}" -c "$source" -o "${objects[-1]}"
done
await_jobs
for source in review/[0-9]*/*.cpp; do
    if [ "$(basename "$(dirname "$source")")" -ge 6 ]; then
        in_background g++ "${flags[@]}" "$source" "${objects[@]}" -Wl,--start-group "${archives[@]}" -Wl,--end-group \
            -lhttp_parser -lxxhash -lssl -lcrypto -lpthread -o "target/review-2/$(basename "$source" .cpp)"
    fi
done
await_jobs
