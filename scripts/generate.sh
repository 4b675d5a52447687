#!/bin/bash
# Renews the committed protobuf and gRPC code from libs/wire/proto.
set -euo pipefail
cd "$(dirname "$0")/../libs/wire"
protoc -I proto --cpp_out=generated proto/*.proto
protoc -I proto --grpc_out=generated --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/control.proto
