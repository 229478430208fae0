#!/usr/bin/env bash
# Runs clang-tidy on all sources of a build folder. Results are cached by content, because one run
# over everything takes minutes. BOOST_LEAF_CHECK expands to a GNU statement expression, which g++ takes
# as a marked extension.
set -euo pipefail
build=${1:?usage: lint.sh BUILD_FOLDER}
cache=${XDG_CACHE_HOME:-$HOME/.cache}/tamarack-lint
mkdir -p "$cache"
headers=$(cat .clang-tidy $(git ls-files -co --exclude-standard '*.h') | sha256sum | cut -c1-32)
export build cache headers
check() {
    stamp=$cache/$(cat "$1" <(echo "$headers $1") | sha256sum | cut -c1-32)
    [ -e "$stamp" ] && return 0
    if output=$(clang-tidy -p "$build" --quiet --extra-arg=-Wno-gnu-statement-expression "$1" 2>/dev/null); then
        touch "$stamp"
    else
        echo "$output"
        return 1
    fi
}
export -f check
git ls-files -co --exclude-standard '*.cpp' ':!proto/generated' \
    | xargs -P "$(nproc)" -I{} bash -c 'check {}'
