#!/bin/sh
# Regenerates the protobuf code in generated/, which is committed.
set -eu
cd "$(dirname "$0")"
protoc --cpp_out=generated ./*.proto
