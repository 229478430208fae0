#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second independent review start, into target/review-2.
# It needs what deploy/system.toml declares, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
kit=(review/kit-2/*.cpp)
for folder in review/6 review/7 review/8 review/9 review/10; do
    [ -e "$folder/case.cpp" ] || continue
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -I review/kit-2 "${kit[@]}" "$folder/case.cpp" \
        -lPocoJSON -lPocoFoundation -pthread -o "target/review-2/case-$(basename "$folder")"
done
