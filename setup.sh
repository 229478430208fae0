#!/usr/bin/env bash
# Installs the required packages and builds all targets. With --demo, also runs examples/run-demo.sh.
set -euo pipefail
cd "$(dirname "$0")"
packages=(g++ cmake ninja-build ccache clang-format clang-tidy curl pkg-config
    libpoco-dev libzmq3-dev cppzmq-dev libprotobuf-dev protobuf-compiler prometheus-cpp-dev
    libcli11-dev libfmt-dev libboost1.81-dev catch2 libxxhash-dev libssl-dev librapidcheck-dev
    libbenchmark-dev)
missing=()
for package in "${packages[@]}"; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
    apt-get update -q
    DEBIAN_FRONTEND=noninteractive apt-get install -q -y "${missing[@]}"
fi
cmake -S . -B build -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache
cmake --build build
if [ "${1:-}" = --demo ]; then
    examples/run-demo.sh build/bin
fi
