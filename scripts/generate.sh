#!/usr/bin/env bash
# Regenerates the committed code in generated/ from schema/; needs protoc, the gRPC plugin and flatc.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I schema --cpp_out=generated --grpc_out=generated --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" schema/*.proto
flatc --cpp --gen-object-api --scoped-enums -o generated schema/*.fbs
