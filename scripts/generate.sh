#!/usr/bin/env bash
# Writes packages/wire/generated anew from packages/wire/proto. Only for changes of a .proto file; needs
# protobuf-compiler and protobuf-compiler-grpc, which the build doesn't.
set -euo pipefail
cd "$(dirname "$0")/../packages/wire/proto"
plugin=$(command -v grpc_cpp_plugin)
protoc --cpp_out=../generated ./*.proto
protoc --grpc_out=../generated --plugin=protoc-gen-grpc="$plugin" ./peer.proto
