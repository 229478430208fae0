#!/usr/bin/env bash
# Fails if a test program is not part of the build: CI would pass without ever running it.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=0
for source in tests/unit-*.cpp tests/contract-*.cpp platform/tests/unit-*.cpp platform/tests/contract-*.cpp; do
    name=$(basename "$source" .cpp)
    if ! grep -rqw --include=CMakeLists.txt -- "$name" tests platform; then
        echo "$source is not built; add it to a CMakeLists.txt" >&2
        missing=1
    fi
done
exit $missing
