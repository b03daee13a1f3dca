#!/usr/bin/env bash
# Builds the programs of the review's cases into target/review. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x target/tools/fuchsialoomd ]; then
    echo "build the daemon first, with the command of deploy/system.toml" >&2
    exit 2
fi
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -Ipackages/http/include -Ipackages/support/include -DASIO_STANDALONE)
libraries=(target/packages/http/libfuchsialoom_http.a target/packages/support/libfuchsialoom_support.a -lhttp_parser -lpthread)
g++ "${flags[@]}" -c review/common/scene.cpp -o target/review/scene.o
for source in review/[1-5]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" "$source" target/review/scene.o "${libraries[@]}" -o "target/review/case-$number"
done
