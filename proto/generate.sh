#!/bin/sh
# Regenerates the committed protobuf code.
set -eu
cd "$(dirname "$0")"
protoc --cpp_out=generated ./*.proto
