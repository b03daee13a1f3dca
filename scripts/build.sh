#!/usr/bin/env bash
# Configures and builds everything in ./build (or in the folder named as the first argument).
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
shift || true
cmake -S . -B "$folder" -G Ninja "$@" >/dev/null
cmake --build "$folder"
