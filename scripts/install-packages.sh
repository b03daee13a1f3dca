#!/usr/bin/env bash
# Installs what the build needs from the Debian packages. Run as root.
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends \
    g++ cmake ninja-build pkg-config ccache curl \
    libasio-dev libgrpc++-dev libprotobuf-dev libboost-dev libboost-program-options-dev libcpp-httplib-dev \
    libeasyloggingpp-dev librapidcheck-dev libgtest-dev libgmock-dev nlohmann-json3-dev libssl-dev libxxhash-dev libhttp-parser-dev \
    clang-format clang-tidy clang >/dev/null
